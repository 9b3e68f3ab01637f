package hazelspoke;

import hazelspoke.config.OperatorConfig;
import hazelspoke.node.Gateway;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** For its help: {@code serve} alone never comes here. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = {
      "Run one gateway, as the file that the variable NODE_CONFIG names tells it.",
      "The operator's file adds what is off without it, such as the fleet's record.",
      "SIGHUP: read discovery's address, classes and limits again.",
      "SIGTERM: finish what was taken, and leave."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:left after SIGTERM", "1:the configuration cannot be used"})
final class ServeCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "The operator's file; default: the variable PUMICETRAY_CONFIG.")
  private Path config;

  @Override
  public Integer call() {
    Map<String, String> environment = new HashMap<>(System.getenv());
    if (config != null) {
      environment.put(OperatorConfig.VARIABLE, config.toString());
    }
    return Gateway.serve(environment, System.err);
  }
}
