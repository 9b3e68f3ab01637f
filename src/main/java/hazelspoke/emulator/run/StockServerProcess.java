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

/** Runs one stock server of a script in this process; see {@link HostProcesses}. */
public final class StockServerProcess {
  private StockServerProcess() {}

  /**
   * Starts the server and returns; it runs until the process is killed.
   *
   * @param zero origin of the rehearsal's clock, by {@link System#nanoTime}
   * @param out receives one line per event
   * @throws IllegalArgumentException if the script has no such host
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
    EmulatorLoop emulatorLoop = new EmulatorLoop(loop, zero);
    emulatorLoop
        .failure()
        .whenComplete(
            (none, failure) -> {
              failure.printStackTrace();
              Runtime.getRuntime().halt(1);
            });
    Host host =
        new Host(
            emulatorLoop,
            spec,
            listen,
            // Whether a gateway knew of its start is unknown here, so overload never makes it fail.
            Fleet.rules(world, Double.POSITIVE_INFINITY),
            new IdempotencyWindow(Fleet.idempotencyWindowMs(world.script())),
            new LineSink(out));
    loop.execute(
        () -> {
          emulatorLoop.monitorLag(late -> {});
          host.start(cold);
        });
  }

  /** Writes events as lines. */
  private static final class LineSink implements HostSink {
    private final PrintStream out;
    private long next;

    LineSink(PrintStream out) {
      this.out = out;
    }

    @Override
    public Attempt received(String txn, String host, int group, double at, double earliest) {
      long id = next++;
      out.printf(Locale.ROOT, "received %d %s %.3f %.3f%n", id, txn, at, earliest);
      return (AttemptEnd end, double when) ->
          out.printf(Locale.ROOT, "ended %d %s %.3f%n", id, end, when);
    }

    /**
     * Unknown in this process, so requests to a cold host here are never reported as violations.
     */
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
