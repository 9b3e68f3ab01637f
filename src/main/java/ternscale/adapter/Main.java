package ternscale.adapter;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Command line of the adapter. */
public final class Main {
  private static final String USAGE =
      """
      usage: java -jar ternscale.jar adapter

      adapter   read the events of instances from standard input and write the
                resulting actions to standard output until the input ends
      """;

  private Main() {}

  public static void main(String[] args) {
    InputStream in = new FileInputStream(FileDescriptor.in);
    OutputStream out = new FileOutputStream(FileDescriptor.out);
    int status = run(args, in, out, System.err);
    System.err.flush();
    if (status != 0) {
      System.exit(status);
    }
  }

  /** Runs a command; returns 0, 1 for invalid input or 2 for a usage error. */
  static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
    if (args.length == 1 && args[0].equals("--help")) {
      new PrintStream(out, true).print(USAGE);
      return 0;
    }
    if (args.length != 1 || !args[0].equals("adapter")) {
      err.print(
          args.length == 0 ? USAGE : "unknown command: " + String.join(" ", args) + "\n" + USAGE);
      return 2;
    }
    try {
      new Adapter(in, out).run();
      return 0;
    } catch (WireException e) {
      err.println("ternscale: " + e.getMessage());
      return 1;
    } catch (IOException e) {
      err.println("ternscale: I/O error: " + e.getMessage());
      return 1;
    }
  }
}
