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

/** A task run after a poll sees what peers have sent, wherever the event loop has stalled. */
class SocketPollingTest {
  private static final int TIMEOUT_S = 30;

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

  private static void await(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The loop stalls after the poll, in another task of the same iteration. */
  @Test
  void readsBytesThatArriveWhileLoopIsStalledAfterPoll() throws Exception {
    InetSocketAddress address = (InetSocketAddress) listen().localAddress();
    try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
      peer.getOutputStream().write('a');
      awaitRead(1);
      CountDownLatch stalled = new CountDownLatch(1);
      CountDownLatch resume = new CountDownLatch(1);
      CompletableFuture<Integer> readBefore = new CompletableFuture<>();
      loop.execute(
          () -> {
            // Both are due in the next iteration, this one first.
            loop.execute(
                () -> loop.schedule(() -> stall(stalled, resume), 0, TimeUnit.NANOSECONDS));
            SocketPolling.afterPoll(loop, () -> readBefore.complete(bytesRead.get()));
          });
      await(stalled);
      peer.getOutputStream().write('b');
      // Only has to exceed the maximum age of a poll.
      TimeUnit.MILLISECONDS.sleep(4 * SocketPolling.MAX_POLL_AGE_MS);
      resume.countDown();
      assertThat(readBefore.get(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(2);
    }
  }

  private static void stall(CountDownLatch stalled, CountDownLatch resume) {
    stalled.countDown();
    await(resume);
  }

  /** Every iteration is long: the task still runs after the maximum number of polls. */
  @Test
  void runsTaskThoughEveryIterationIsLong() throws Exception {
    AtomicInteger stalls = new AtomicInteger();
    CompletableFuture<Integer> stallsBefore = new CompletableFuture<>();
    loop.execute(
        () -> {
          stallEveryIteration(stalls);
          SocketPolling.afterPoll(loop, () -> stallsBefore.complete(stalls.get()));
        });
    assertThat(stallsBefore.get(TIMEOUT_S, TimeUnit.SECONDS)).isLessThan(100);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private void stallEveryIteration(AtomicInteger stalls) {
    if (!loop.isShuttingDown() && stalls.incrementAndGet() < 1_000) {
      long endNanos =
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * SocketPolling.MAX_POLL_AGE_MS);
      while (System.nanoTime() < endNanos) {
        Thread.onSpinWait();
      }
      loop.schedule(() -> stallEveryIteration(stalls), 0, TimeUnit.NANOSECONDS);
    }
  }

  private void awaitRead(int bytes) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (bytesRead.get() < bytes) {
      assertThat(System.nanoTime()).isLessThan(endNanos);
      Thread.sleep(1);
    }
  }
}
