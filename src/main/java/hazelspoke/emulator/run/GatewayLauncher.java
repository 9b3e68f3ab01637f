package hazelspoke.emulator.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Starts gateways, or a test's replacements for them. */
public interface GatewayLauncher {
  /**
   * @param name such as {@code g1}
   * @param environment the variables that a deployment sets, including {@code NODE_CONFIG}
   * @param log file that receives its output
   */
  GatewayHandle launch(String name, Map<String, String> environment, Path log) throws IOException;
}
