package hazelspoke.emulator.run;

import hazelspoke.emulator.judge.EventLog.AttemptEnd;
import hazelspoke.emulator.model.IdempotencyWindow;
import hazelspoke.emulator.model.ServerSpec;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.net.EmulatorLoop;
import hazelspoke.emulator.net.Host;
import hazelspoke.emulator.net.HostSink;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Locale;

/** One stock server of a script's as a process of its own; see {@link ApartHosts}. */
public final class StockServerProcess {
  private StockServerProcess() {}

  /**
   * Starts it and returns; it runs until its process is killed.
   *
   * @param zero the 0 of the rehearsal's clock, as {@link System#nanoTime} has it
   * @param out what it sees, a line for each event
   * @throws IllegalArgumentException when the script has no such host
   */
  public static void start(
      World world,
      String name,
      InetSocketAddress listen,
      long zero,
      boolean cold,
      PrintStream out) {
    ServerSpec spec =
        world.servers().stream()
            .filter(s -> s.name().equals(name))
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("the script has no host " + name));
    EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    EmulatorLoop stage = new EmulatorLoop(loop, zero);
    stage
        .failure()
        .whenComplete(
            (none, failure) -> {
              failure.printStackTrace();
              Runtime.getRuntime().halt(1);
            });
    Host host =
        new Host(
            stage,
            spec,
            listen,
            // Who knew of its start is not known here: it cannot be pushed over.
            Fleet.rules(world, Double.POSITIVE_INFINITY),
            new IdempotencyWindow(Fleet.window(world.script())),
            new Lines(out));
    loop.execute(
        () -> {
          stage.monitorLag(late -> {});
          host.start(cold);
        });
  }

  /** Tells what it saw as lines; buffered until the loop has nothing else to do. */
  private static final class Lines implements HostSink {
    private final PrintStream out;
    private long next;

    Lines(PrintStream out) {
      this.out = out;
    }

    @Override
    public Attempt received(String txn, String host, int group, double at, double earliest) {
      long id = next++;
      out.printf(Locale.ROOT, "received %d %s %.3f %.3f%n", id, txn, at, earliest);
      return (AttemptEnd end, double when) ->
          out.printf(Locale.ROOT, "ended %d %s %.3f%n", id, end, when);
    }

    /** Not known here: what is sent to a cold host apart is not held against anybody. */
    @Override
    public boolean isStartKnownToGateway(String txn, String host) {
      return false;
    }

    @Override
    public void failedFromOverload(String host, double at, double toldShare) {
      out.printf(Locale.ROOT, "fell - %.3f%n", at);
    }
  }
}
