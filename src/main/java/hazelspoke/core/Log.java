package hazelspoke.core;

import java.io.PrintStream;
import java.util.function.Supplier;

/**
 * The operators' log on standard error. The length and rate of its lines are limited, so that peers
 * or bugs cannot flood it.
 */
public final class Log {
  private static final int MAX_LINES_PER_SECOND = 20;
  private static final int MAX_DETAILS_PER_SECOND = 10;
  private static final int MAX_LINE_CHARS = 400;
  private static final double SECOND_MS = 1_000;

  private final PrintStream out;
  private final Clock clock;
  private double secondStartedAtMs = Double.NEGATIVE_INFINITY;
  private int lines;
  private double detailSecondStartedAtMs = Double.NEGATIVE_INFINITY;
  private int details;
  private long dropped;

  public Log(PrintStream out, Clock clock) {
    this.out = out;
    this.clock = clock;
  }

  public void line(String text) {
    double now = clock.nowMs();
    if (now - secondStartedAtMs >= SECOND_MS) {
      secondStartedAtMs = now;
      lines = 0;
      if (dropped > 0) {
        out.println("hazelspoke: " + dropped + " lines suppressed");
        dropped = 0;
      }
    }
    if (++lines > MAX_LINES_PER_SECOND) {
      dropped++;
      return;
    }
    print(text);
  }

  /**
   * Writes a line about the ordinary end of a request, attempt or connection, within a limit of its
   * own, so that such lines do not displace others.
   */
  public void detail(Supplier<String> text) {
    double now = clock.nowMs();
    if (now - detailSecondStartedAtMs >= SECOND_MS) {
      detailSecondStartedAtMs = now;
      details = 0;
    }
    if (++details <= MAX_DETAILS_PER_SECOND) {
      print(text.get());
    }
  }

  private void print(String text) {
    String flat = text.replaceAll("\\p{Cntrl}", " ");
    out.println("hazelspoke: " + flat.substring(0, Math.min(flat.length(), MAX_LINE_CHARS)));
  }

  public void failure(String where, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    line(where + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}
