package hazelspoke;

import hazelspoke.config.OperatorConfig;
import hazelspoke.node.Gateway;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs {@code serve} with options; {@link Main} runs it without. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = {
      "Run one gateway with the configuration file that the variable NODE_CONFIG names.",
      "The operator's file turns on what is off by default, such as the fleet's record.",
      "SIGHUP: reload discovery's address, classes and limits.",
      "SIGTERM: finish accepted requests and shut down."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:shut down by SIGTERM",
      "1:the configuration is invalid",
      "70:the event loop failed"
    })
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
