package hazelspoke;

import hazelspoke.node.ClassArchive;
import hazelspoke.node.Gateway;
import java.util.Map;

/**
 * Entry point of the command line. The commands that a deployment and its build use, {@code serve},
 * {@code adapter} and {@code archive}, are dispatched first and load no class of the interactive
 * commands.
 */
public final class Main {
  /** Exit status after an unexpected error. */
  private static final int FAILED_STATUS = 70;

  private Main() {}

  public static void main(String[] args) {
    int status;
    try {
      status = run(args, System.getenv());
    } catch (Throwable e) {
      // Other threads may run already, and would keep a process that never becomes ready.
      e.printStackTrace();
      status = FAILED_STATUS;
    }
    System.out.flush();
    System.err.flush();
    if (status != 0) {
      System.exit(status);
    }
  }

  /** Runs a command; returns 0, 1 for invalid input, 2 for invalid arguments, or its own status. */
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
