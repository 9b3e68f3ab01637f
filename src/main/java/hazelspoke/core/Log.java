package hazelspoke.core;

import java.io.PrintStream;

/** Lines for the operators on standard error: few and short, whatever peers or bugs may cause. */
public final class Log {
  private static final int MOST_LINES_PER_SECOND = 20;
  private static final int LONGEST_LINE_CHARS = 400;
  private static final double SECOND_MS = 1_000;

  private final PrintStream out;
  private final Clock clock;
  private double secondStartedAt = Double.NEGATIVE_INFINITY;
  private int lines;
  private long dropped;

  public Log(PrintStream out, Clock clock) {
    this.out = out;
    this.clock = clock;
  }

  public void line(String text) {
    double now = clock.nowMs();
    if (now - secondStartedAt >= SECOND_MS) {
      secondStartedAt = now;
      lines = 0;
      if (dropped > 0) {
        out.println("hazelspoke: " + dropped + " lines left out");
        dropped = 0;
      }
    }
    if (++lines > MOST_LINES_PER_SECOND) {
      dropped++;
      return;
    }
    String flat = text.replaceAll("\\p{Cntrl}", " ");
    out.println("hazelspoke: " + flat.substring(0, Math.min(flat.length(), LONGEST_LINE_CHARS)));
  }

  public void failure(String where, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    line(where + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}
