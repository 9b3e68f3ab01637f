package hazelspoke;

import hazelspoke.node.ClassArchive;
import hazelspoke.node.Gateway;
import java.util.Map;

/**
 * The command line. What a deployment and its build start is looked for first and goes its way at
 * once: {@code serve}, {@code adapter} and {@code archive} load no class of the commands for
 * people.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    int status = run(args, System.getenv());
    System.out.flush();
    System.err.flush();
    if (status != 0) {
      System.exit(status);
    }
  }

  /** Runs a command; the exit status is 0, 1 for bad input, 2 for a wrong call, or a command's. */
  static int run(String[] args, Map<String, String> environment) {
    switch (args.length == 1 ? args[0] : "") {
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
      default -> {
        return Commands.run(args);
      }
    }
  }
}
