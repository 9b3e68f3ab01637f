package hazelspoke.node;

import hazelspoke.core.Client;
import hazelspoke.core.Log;
import hazelspoke.net.Transport;
import hazelspoke.net.UnixSocketSupport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ternscale.api.Settings.Effect;

/**
 * Before the first client comes, a gateway like the one to be started serves clients of its own
 * from a host of its own, over sockets in the file system. Code that runs for the first time takes
 * many times the CPU, at the sockets most of all, and with part of a core the first seconds of
 * traffic would pile up behind it: late requests are given up, and asked again over new
 * connections, which are the dearest. It counts requests and not time, as code is compiled once it
 * has run often enough, however slow the machine; the bound in time only keeps a very slow one from
 * staying away for ever. It also takes the module through errors and second tries. It could hurt
 * where a restart has nobody to carry its share meanwhile.
 */
final class WarmUp {
  private static final int REQUESTS = 300;

  /** In service; see {@link #run}. */
  static final long MOST_MS = 2_000;

  private static final int CLIENTS = 8;

  /** As often as this a client opens a new connection for its next request. */
  private static final int REQUESTS_PER_CONNECTION = 3;

  /**
   * One answer in so many turns a request away, and as many err or break off; few eject no host.
   */
  private static final int TROUBLE_EVERY = 100;

  private static final char LAST = '!';
  private static final String BODY = "-".repeat(200) + LAST;
  private static final String ANSWER = "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;

  /** Ids are 32 hexadecimal digits long. */
  private static final String ID = "0123456789abcdef0123456789";

  private final GatewayConfig config;
  private final Path folder;
  private final CountDownLatch left = new CountDownLatch(REQUESTS);
  private int asked;
  private int answered;

  WarmUp(GatewayConfig config, Map<String, String> environment) {
    this.config = config;
    folder = Gateway.temporary(environment);
  }

  /**
   * Never keeps a gateway from starting, nor for longer than this: it is of use, not of need. Where
   * sockets in the file system carry nothing it is left out at once: there it could only wait out
   * its time, while clients find nobody.
   *
   * @return whether all requests were answered
   */
  boolean run(Log log, long mostMs) {
    try {
      // By its process and not by a random name, as such names take long to make.
      Path own = folder.resolve("warm-up-" + ProcessHandle.current().pid());
      // The folder may outlive a process that was killed here, and an id may come again.
      clear(own);
      Files.createDirectory(own);
      try {
        if (UnixSocketSupport.isAvailable(own.resolve("host"))) {
          play(own.resolve("gateway"), own.resolve("host"), mostMs);
        } else {
          log.line("no warm-up: sockets in the file system carry nothing here");
        }
      } finally {
        clear(own);
      }
    } catch (IOException | RuntimeException e) {
      log.failure("the warm-up failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return left.getCount() == 0;
  }

  private static void clear(Path own) throws IOException {
    Files.deleteIfExists(own.resolve("gateway"));
    Files.deleteIfExists(own.resolve("host"));
    Files.deleteIfExists(own);
  }

  private void play(Path front, Path host, long mostMs) throws InterruptedException {
    Transport transport = Transport.unixSockets(front, host);
    Gateway gateway =
        new Gateway(config, new PrintStream(OutputStream.nullOutputStream()), transport);
    try {
      new ServerBootstrap()
          .group(gateway.loop)
          .channel(transport.serverChannelType())
          .childHandler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                  ch.pipeline().addLast(new Host());
                }
              })
          .bind(UnixDomainSocketAddress.of(host))
          .syncUninterruptibly();
      gateway.start();
      Bootstrap clients =
          new Bootstrap()
              .group(gateway.loop)
              .channel(transport.clientChannelType())
              .remoteAddress(UnixDomainSocketAddress.of(front));
      for (int i = 0; i < CLIENTS; i++) {
        connect(clients);
      }
      left.await(mostMs, TimeUnit.MILLISECONDS);
    } finally {
      gateway.stop();
    }
  }

  private void connect(Bootstrap clients) {
    clients
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new Client(clients));
              }
            })
        .connect();
  }

  private ByteBuf request() {
    int c = asked % config.names().classes().size();
    String name = config.names().classes().get(c);
    Effect effect = config.settings().classes().get(c).effect();
    boolean safe = effect == Effect.REPEATABLE;
    StringBuilder text = new StringBuilder(safe ? "GET /" : "POST /");
    text.append(name).append(" HTTP/1.1\r\nHost: warm-up\r\nX-Lane: ").append(name);
    text.append("\r\nX-Txn: ").append(ID).append(asked);
    text.append("\r\nX-Entity: ").append(asked % CLIENTS).append("\r\nX-Remaining: 9.000");
    text.append("\r\nX-Estimate: ").append(1_000 + asked % TROUBLE_EVERY * 100);
    if (effect == Effect.BY_KEY) {
      text.append("\r\nIdempotency-Key: ").append(ID).append(asked);
    }
    asked++;
    text.append("\r\nContent-Length: ").append(safe ? 0 : BODY.length());
    text.append("\r\n\r\n").append(safe ? "" : BODY);
    return bytes(text.toString());
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Whether these bytes end a message: its body's last byte or, where there is none, its head's.
   * Plain and good enough here, where reading with care would cost what is to be saved.
   */
  private static boolean ends(Object message) {
    ByteBuf bytes = (ByteBuf) message;
    byte last = bytes.getByte(bytes.writerIndex() - 1);
    bytes.release();
    return last == LAST || last == '\n';
  }

  /** Either end; one that breaks has no more to say. */
  private static class Peer extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Asks one request after the other, and goes on over another connection after some. */
  private final class Client extends Peer {
    private final Bootstrap next;
    private int requests;

    Client(Bootstrap next) {
      this.next = next;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.writeAndFlush(request());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (ends(message)) {
        left.countDown();
        if (++requests < REQUESTS_PER_CONNECTION) {
          ctx.writeAndFlush(request());
        } else {
          ctx.close();
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (left.getCount() > 0 && !next.config().group().isShuttingDown()) {
        connect(next);
      }
    }
  }

  /** Answers at once, mostly well. */
  private final class Host extends Peer {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (!ends(message)) {
        return;
      }
      int trouble = ++answered % TROUBLE_EVERY;
      if (trouble == 0) {
        ctx.close();
        return;
      }
      String status =
          switch (trouble) {
            case 1 -> "503 no\r\nX-Turned-Away: 1";
            case 2 -> "500 no";
            default -> "200 OK";
          };
      ctx.writeAndFlush(bytes("HTTP/1.1 " + status + ANSWER));
    }
  }
}
