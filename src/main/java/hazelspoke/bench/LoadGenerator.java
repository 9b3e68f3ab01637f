package hazelspoke.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Closed-loop load: each client sends its next request as soon as it has a response. */
final class LoadGenerator {
  private static final long MAX_RECORDED_US = TimeUnit.MINUTES.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Results while counting: times in microseconds; non-2xx responses and closed connections. */
  record Result(Histogram timesUs, long failed, double seconds) {}

  /** Counts the requests of all rounds, as a gateway accepts no id again. */
  private static final AtomicLong NEXT_NUMBER = new AtomicLong();

  private final EventLoopGroup loops;
  private final InetSocketAddress to;
  private final double remainingS;
  private final Histogram times = new ConcurrentHistogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
  private final AtomicLong failed = new AtomicLong();
  private final List<Channel> channels = new ArrayList<>();
  private volatile boolean counting;
  private volatile boolean finished;

  LoadGenerator(EventLoopGroup loops, InetSocketAddress to, double remainingS) {
    this.loops = loops;
    this.to = to;
    this.remainingS = remainingS;
  }

  /** Runs for {@code leadS} seconds without counting, and then counts for {@code seconds}. */
  Result run(int clients, double leadS, double seconds, Runnable onCountingStart)
      throws InterruptedException {
    for (int i = 0; i < clients; i++) {
      channels.add(connect());
    }
    sleep(leadS);
    onCountingStart.run();
    counting = true;
    long from = System.nanoTime();
    sleep(seconds);
    counting = false;
    double elapsedS = (System.nanoTime() - from) / 1e9;
    finished = true;
    for (Channel channel : channels) {
      channel.close().awaitUninterruptibly();
    }
    return new Result(times, failed.get(), elapsedS);
  }

  private static void sleep(double seconds) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep((long) (seconds * 1_000));
  }

  private Channel connect() {
    return new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new Client());
              }
            })
        .connect(to)
        .syncUninterruptibly()
        .channel();
  }

  private final class Client extends ChannelInboundHandlerAdapter {
    private static final int STATUS_OFFSET = 9;

    private long sentAtNanos;
    private boolean responseStarted;
    private boolean isSuccess;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      sendRequest(ctx);
    }

    private void sendRequest(ChannelHandlerContext ctx) {
      responseStarted = false;
      sentAtNanos = System.nanoTime();
      ctx.writeAndFlush(
          Messages.request(NEXT_NUMBER.getAndIncrement(), remainingS), ctx.voidPromise());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      if (!responseStarted) {
        responseStarted = true;
        isSuccess = bytes.readableBytes() > STATUS_OFFSET && bytes.getByte(STATUS_OFFSET) == '2';
      }
      // A response that the gateway itself generates ends in a newline.
      boolean fromGateway = !isSuccess && bytes.getByte(bytes.writerIndex() - 1) == '\n';
      if (!Messages.endsMessage(message) && !fromGateway) {
        return;
      }
      if (counting) {
        if (isSuccess) {
          long us = (System.nanoTime() - sentAtNanos) / 1_000;
          times.recordValue(Math.min(us, MAX_RECORDED_US));
        } else {
          failed.incrementAndGet();
        }
      }
      if (!finished) {
        sendRequest(ctx);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!finished) {
        failed.incrementAndGet();
        connect();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
