package hazelspoke.emulator.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Starts gateways: the real ones, or whatever a test puts in their place. */
public interface GatewayLauncher {
  /**
   * @param name such as {@code g1}
   * @param environment the variables that a deployment sets, {@code NODE_CONFIG} among them
   * @param log where its lines go
   */
  GatewayHandle launch(String name, Map<String, String> environment, Path log) throws IOException;
}
