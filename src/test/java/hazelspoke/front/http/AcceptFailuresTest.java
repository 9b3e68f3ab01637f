package hazelspoke.front.http;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.ByteBudget;
import hazelspoke.core.Clock;
import hazelspoke.core.Log;
import hazelspoke.core.Meter;
import hazelspoke.core.Violations;
import hazelspoke.net.EventLoops;
import hazelspoke.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The system does not let a client in for a moment. */
class AcceptFailuresTest {
  /** The loop keeps to the order of its timers, and Netty's own handler waits for 1 s. */
  private static final long WELL_WITHIN_A_SECOND_MS = 400;

  private final EventLoopGroup group = EventLoops.single();
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  @Test
  void othersAreLetInSoonAfterwards() throws Exception {
    EventLoop loop = group.next();
    Clock clock = new Clock();
    Log log = new Log(new PrintStream(text, true), clock);
    ClientServer server =
        new ClientServer(
            loop,
            clock,
            null,
            null,
            null,
            new ByteBudget(1),
            log,
            new Violations(log, Meter.NONE),
            100);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Channel listener = server.listen(Transport.TCP, any, false).sync().channel();
    loop.submit(() -> listener.pipeline().fireExceptionCaught(new IOException("Too many files")))
        .sync();
    assertThat(listener.config().isAutoRead()).isFalse();
    loop.schedule(() -> {}, WELL_WITHIN_A_SECOND_MS, TimeUnit.MILLISECONDS).sync();
    assertThat(listener.config().isAutoRead()).isTrue();
    assertThat(text.toString()).contains("could not be let in");
  }
}
