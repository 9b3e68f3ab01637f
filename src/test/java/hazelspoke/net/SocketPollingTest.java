package hazelspoke.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What is done after reading knows what peers have said, wherever the loop stood still. */
class SocketPollingTest {
  private static final int PATIENCE_S = 30;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final AtomicInteger bytesRead = new AtomicInteger();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private final class Counting extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      bytesRead.addAndGet(bytes.readableBytes());
    }
  }

  private Channel listen() throws Exception {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .childHandler(new Counting())
        .bind(InetAddress.getLoopbackAddress(), 0)
        .sync()
        .channel();
  }

  private static void hold(CountDownLatch until) {
    try {
      until.await(PATIENCE_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The look has been taken, and something else of the same turn stands still before the task. */
  @Test
  void bytesThatComeWhileTheLoopStandsStillBehindTheLookAreRead() throws Exception {
    InetSocketAddress address = (InetSocketAddress) listen().localAddress();
    try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
      peer.getOutputStream().write('a');
      awaitRead(1);
      CountDownLatch standing = new CountDownLatch(1);
      CountDownLatch goOn = new CountDownLatch(1);
      CompletableFuture<Integer> readBefore = new CompletableFuture<>();
      loop.execute(
          () -> {
            // Both are due in the next turn, this one first.
            loop.execute(() -> loop.schedule(() -> stand(standing, goOn), 0, TimeUnit.NANOSECONDS));
            SocketPolling.afterPoll(loop, () -> readBefore.complete(bytesRead.get()));
          });
      hold(standing);
      peer.getOutputStream().write('b');
      // Far longer than a look stays good; that it is longer is all that counts.
      TimeUnit.MILLISECONDS.sleep(4 * SocketPolling.MAX_POLL_AGE_MS);
      goOn.countDown();
      assertThat(readBefore.get(PATIENCE_S, TimeUnit.SECONDS)).isEqualTo(2);
    }
  }

  private static void stand(CountDownLatch standing, CountDownLatch goOn) {
    standing.countDown();
    hold(goOn);
  }

  /** Every turn is long: the task still gets its turn, after so many looks. */
  @Test
  void aLoopWhoseEveryTurnIsLongGetsOn() throws Exception {
    AtomicInteger stalls = new AtomicInteger();
    CompletableFuture<Integer> stallsBefore = new CompletableFuture<>();
    loop.execute(
        () -> {
          stallEveryTurn(stalls);
          SocketPolling.afterPoll(loop, () -> stallsBefore.complete(stalls.get()));
        });
    assertThat(stallsBefore.get(PATIENCE_S, TimeUnit.SECONDS)).isLessThan(100);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private void stallEveryTurn(AtomicInteger stalls) {
    if (!loop.isShuttingDown() && stalls.incrementAndGet() < 1_000) {
      long end =
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * SocketPolling.MAX_POLL_AGE_MS);
      while (System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      loop.schedule(() -> stallEveryTurn(stalls), 0, TimeUnit.NANOSECONDS);
    }
  }

  private void awaitRead(int bytes) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
    while (bytesRead.get() < bytes) {
      assertThat(System.nanoTime()).isLessThan(end);
      Thread.sleep(1);
    }
  }
}
