package hazelspoke;

import hazelspoke.gateway.ClassArchive;
import hazelspoke.gateway.Gateway;
import java.util.Map;

/** The command line. */
public final class Main {
  private static final String USAGE =
      """
      usage: java -jar hazelspoke.jar serve | adapter | archive

      serve     run one gateway, as the file that NODE_CONFIG names tells it
      adapter   decide for the instances whose events arrive on standard input,
                writing their actions to standard output until the input ends
      archive   run two gateways for a moment, at build time; see deploy/build.sh
      """;

  private Main() {}

  public static void main(String[] args) {
    int status = run(args, System.getenv());
    System.err.flush();
    if (status != 0) {
      System.exit(status);
    }
  }

  /** Runs a command; the exit status is 0, 1 for bad input and 2 for a wrong call. */
  static int run(String[] args, Map<String, String> environment) {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "serve" -> {
        return Gateway.serve(environment, System.err);
      }
      case "adapter" -> {
        ternscale.adapter.Main.main(args);
        return 0;
      }
      case "archive" -> {
        return ClassArchive.run(System.err);
      }
      case "--help" -> {
        System.out.print(USAGE);
        return 0;
      }
      default -> {
        System.err.print(
            args.length == 0 ? USAGE : "unknown command: " + String.join(" ", args) + "\n" + USAGE);
        return 2;
      }
    }
  }
}
