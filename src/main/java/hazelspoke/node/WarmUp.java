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
 * Warms up the JVM before the first client connects: a gateway with the same configuration serves
 * in-process clients from an in-process host over Unix domain sockets. Code that runs for the first
 * time needs many times the CPU, most of all at the sockets, and on part of a core the first
 * seconds of traffic would queue behind it: clients abandon late requests and send them again over
 * new connections, which cost the most. The warm-up is measured in requests and not in time,
 * because code is compiled after a number of executions, however slow the machine; the time limit
 * only bounds the delay on a very slow one. It also covers the balancing module's paths for errors
 * and retries. The delay is a disadvantage where no other gateway carries the load during a
 * restart.
 */
final class WarmUp {
  private static final int REQUESTS = 300;

  /** Time limit in production; see {@link #run}. */
  static final long MAX_MS = 2_000;

  private static final int CLIENTS = 8;

  /** After this many requests a client opens a new connection. */
  private static final int REQUESTS_PER_CONNECTION = 3;

  /**
   * One response in this many rejects its request; equally many are errors, and equally many are
   * dropped connections. These are too few to eject a host.
   */
  private static final int FAULT_INTERVAL = 100;

  private static final char END_MARK = '!';
  private static final String BODY = "-".repeat(200) + END_MARK;
  private static final String RESPONSE_END =
      "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;

  /** Prefix of the request ids, which clients make 32 hexadecimal digits long. */
  private static final String ID_PREFIX = "0123456789abcdef0123456789";

  private final GatewayConfig config;
  private final Path folder;
  private final CountDownLatch remaining = new CountDownLatch(REQUESTS);
  private int sent;
  private int responses;

  WarmUp(GatewayConfig config, Map<String, String> environment) {
    this.config = config;
    folder = Gateway.temporary(environment);
  }

  /**
   * Runs the warm-up. It is optional: a failure is logged and never prevents the gateway from
   * starting, and it takes no longer than the given limit. Where Unix domain sockets do not work it
   * is skipped at once, as it could only wait for the limit while clients find no listener.
   *
   * @return whether all requests got a response
   */
  boolean run(Log log, long maxMs) {
    try {
      // Named by the process id: generating a random name takes long.
      Path socketFolder = folder.resolve("warm-up-" + ProcessHandle.current().pid());
      // A process that was killed may have left the folder behind, and process ids are reused.
      deleteSockets(socketFolder);
      Files.createDirectory(socketFolder);
      try {
        if (UnixSocketSupport.isAvailable(socketFolder.resolve("host"))) {
          exchange(socketFolder.resolve("gateway"), socketFolder.resolve("host"), maxMs);
        } else {
          log.line("no warm-up: Unix domain sockets do not work here");
        }
      } finally {
        deleteSockets(socketFolder);
      }
    } catch (IOException | RuntimeException e) {
      log.failure("the warm-up failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return remaining.getCount() == 0;
  }

  private static void deleteSockets(Path socketFolder) throws IOException {
    Files.deleteIfExists(socketFolder.resolve("gateway"));
    Files.deleteIfExists(socketFolder.resolve("host"));
    Files.deleteIfExists(socketFolder);
  }

  private void exchange(Path front, Path host, long maxMs) throws InterruptedException {
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
      remaining.await(maxMs, TimeUnit.MILLISECONDS);
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
    int classIndex = sent % config.names().classes().size();
    String name = config.names().classes().get(classIndex);
    Effect effect = config.settings().classes().get(classIndex).effect();
    boolean isGet = effect == Effect.REPEATABLE;
    StringBuilder text = new StringBuilder(isGet ? "GET /" : "POST /");
    text.append(name).append(" HTTP/1.1\r\nHost: warm-up\r\nX-Lane: ").append(name);
    text.append("\r\nX-Txn: ").append(ID_PREFIX).append(sent);
    text.append("\r\nX-Entity: ").append(sent % CLIENTS).append("\r\nX-Remaining: 9.000");
    text.append("\r\nX-Estimate: ").append(1_000 + sent % FAULT_INTERVAL * 100);
    if (effect == Effect.BY_KEY) {
      text.append("\r\nIdempotency-Key: ").append(ID_PREFIX).append(sent);
    }
    sent++;
    text.append("\r\nContent-Length: ").append(isGet ? 0 : BODY.length());
    text.append("\r\n\r\n").append(isGet ? "" : BODY);
    return bytes(text.toString());
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Returns whether these bytes end a message, by the last byte of its body or, without a body, of
   * its head. Full parsing would cost the time that the warm-up is to save.
   */
  private static boolean endsMessage(Object message) {
    ByteBuf bytes = (ByteBuf) message;
    byte last = bytes.getByte(bytes.writerIndex() - 1);
    bytes.release();
    return last == END_MARK || last == '\n';
  }

  /** One end of a connection; closes it on any error. */
  private static class Peer extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Sends one request after the other, and reconnects after {@link #REQUESTS_PER_CONNECTION}. */
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
      if (endsMessage(message)) {
        remaining.countDown();
        if (++requests < REQUESTS_PER_CONNECTION) {
          ctx.writeAndFlush(request());
        } else {
          ctx.close();
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (remaining.getCount() > 0 && !next.config().group().isShuttingDown()) {
        connect(next);
      }
    }
  }

  /** Responds at once, mostly with success. */
  private final class Host extends Peer {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (!endsMessage(message)) {
        return;
      }
      int fault = ++responses % FAULT_INTERVAL;
      if (fault == 0) {
        ctx.close();
        return;
      }
      String status =
          switch (fault) {
            case 1 -> "503 no\r\nX-Turned-Away: 1";
            case 2 -> "500 no";
            default -> "200 OK";
          };
      ctx.writeAndFlush(bytes("HTTP/1.1 " + status + RESPONSE_END));
    }
  }
}
