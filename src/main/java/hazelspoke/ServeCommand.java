package hazelspoke;

import hazelspoke.node.Gateway;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** For its help: {@code serve} alone never comes here. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = {
      "Run one gateway, as the file that the variable NODE_CONFIG names tells it.",
      "SIGHUP: read discovery's address, classes and limits again.",
      "SIGTERM: finish what was taken, and leave."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:left after SIGTERM", "1:the configuration cannot be used"})
final class ServeCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return Gateway.serve(System.getenv(), System.err);
  }
}
