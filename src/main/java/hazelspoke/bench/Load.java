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

/** Clients that each ask for one thing after the other and never pause: a closed loop. */
final class Load {
  private static final long LONGEST_US = TimeUnit.MINUTES.toMicros(1);
  private static final int DIGITS = 3;

  /** What was seen while it was counted: times in microseconds, and answers that were no 200. */
  record Seen(Histogram timesUs, long failed, double seconds) {}

  private final EventLoopGroup loops;
  private final InetSocketAddress to;
  private final double remainingS;
  private final AtomicLong numbers = new AtomicLong();
  private final Histogram times = new ConcurrentHistogram(LONGEST_US, DIGITS);
  private final AtomicLong failed = new AtomicLong();
  private final List<Channel> channels = new ArrayList<>();
  private volatile boolean counting;
  private volatile boolean over;

  Load(EventLoopGroup loops, InetSocketAddress to, double remainingS) {
    this.loops = loops;
    this.to = to;
    this.remainingS = remainingS;
  }

  /** Loads for {@code leadS} seconds uncounted, and then for {@code seconds}. */
  Seen run(int clients, double leadS, double seconds, Runnable begins) throws InterruptedException {
    for (int i = 0; i < clients; i++) {
      channels.add(connect());
    }
    sleep(leadS);
    begins.run();
    counting = true;
    long from = System.nanoTime();
    sleep(seconds);
    counting = false;
    double took = (System.nanoTime() - from) / 1e9;
    over = true;
    for (Channel channel : channels) {
      channel.close().awaitUninterruptibly();
    }
    return new Seen(times, failed.get(), took);
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
    private static final int STATUS_AT = 9;

    private long askedAt;
    private boolean begun;
    private boolean good;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ask(ctx);
    }

    private void ask(ChannelHandlerContext ctx) {
      begun = false;
      askedAt = System.nanoTime();
      ctx.writeAndFlush(Messages.request(numbers.getAndIncrement(), remainingS), ctx.voidPromise());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      if (!begun) {
        begun = true;
        good = bytes.readableBytes() > STATUS_AT && bytes.getByte(STATUS_AT) == '2';
      }
      // An answer in the gateway's own words ends in a line.
      boolean ownWords = !good && bytes.getByte(bytes.writerIndex() - 1) == '\n';
      if (!Messages.ends(message) && !ownWords) {
        return;
      }
      if (counting) {
        if (good) {
          long us = (System.nanoTime() - askedAt) / 1_000;
          times.recordValue(Math.min(us, LONGEST_US));
        } else {
          failed.incrementAndGet();
        }
      }
      if (!over) {
        ask(ctx);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!over) {
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
