package hazelspoke.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ternscale.api.Settings;

/** Takes clients' connections in and keeps their number within the sockets there are. */
final class ClientServer {
  private static final int BACKLOG = 4_096;

  private static final long SWEEP_MS = 1_000;

  /** A request of which nothing more comes for this long will not be completed. */
  private static final double READING_STALL_MS = 10_000;

  /** A client that takes nothing of its answer for this long does not want it. */
  private static final double WRITING_STALL_MS = 30_000;

  private final EventLoop loop;
  private final Clock clock;
  private final Names names;
  private final Settings settings;
  private final Dispatcher dispatcher;
  private final ByteBudget bodyBudget;
  private final int mostConnections;

  /** All connections, and those that may be closed for others: the longest so first. */
  private final Set<ClientConnection> open = new LinkedHashSet<>();

  private final Set<ClientConnection> idle = new LinkedHashSet<>();
  private final Set<ClientConnection> reading = new LinkedHashSet<>();
  private Channel listener;
  private boolean ready;
  private boolean draining;

  ClientServer(
      EventLoop loop,
      Clock clock,
      GatewayConfig config,
      Dispatcher dispatcher,
      ByteBudget bodyBudget,
      int mostConnections) {
    this.loop = loop;
    this.clock = clock;
    this.dispatcher = dispatcher;
    this.bodyBudget = bodyBudget;
    this.mostConnections = mostConnections;
    names = config.names();
    settings = config.settings();
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  ChannelFuture listen(InetSocketAddress address) {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Buffers.reads())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    accept(ch);
                  }
                })
            .bind(address);
    listener = binding.channel();
    ready = true;
    return binding;
  }

  private void accept(SocketChannel ch) {
    ClientConnection connection = new ClientConnection(this, ch);
    ch.pipeline()
        .addLast(
            new HttpRequestDecoder(Buffers.decoderConfig()), new HttpResponseEncoder(), connection);
    open.add(connection);
    idle.add(connection);
    makeRoom();
  }

  /** At the limit, closes what may be closed, or leaves new connections waiting in the kernel. */
  private void makeRoom() {
    if (draining) {
      return;
    }
    boolean room = open.size() < mostConnections;
    if (!room) {
      ClientConnection victim = first(idle.isEmpty() ? reading : idle);
      if (victim != null) {
        victim.close();
        room = true;
      }
    }
    listener.config().setAutoRead(room);
  }

  private static ClientConnection first(Set<ClientConnection> connections) {
    return connections.isEmpty() ? null : connections.iterator().next();
  }

  void changed(ClientConnection connection) {
    idle.remove(connection);
    reading.remove(connection);
    switch (connection.state()) {
      case IDLE, CLOSING -> idle.add(connection);
      case READING -> reading.add(connection);
      default -> {}
    }
    if (!listener.config().isAutoRead()) {
      makeRoom();
    }
  }

  void closed(ClientConnection connection) {
    open.remove(connection);
    idle.remove(connection);
    reading.remove(connection);
    makeRoom();
  }

  private void sweep() {
    double now = clock.nowMs();
    List<ClientConnection> stalled = new ArrayList<>();
    for (ClientConnection c : open) {
      double stalledMs = now - c.progressAt();
      if ((c.state() == ClientConnection.State.READING && stalledMs > READING_STALL_MS)
          || (c.state() == ClientConnection.State.ANSWERING && stalledMs > WRITING_STALL_MS)) {
        stalled.add(c);
      }
    }
    stalled.forEach(ClientConnection::close);
  }

  double nowMs() {
    return clock.nowMs();
  }

  boolean isReady() {
    return ready;
  }

  boolean isDraining() {
    return draining;
  }

  Exchange exchange(HttpRequest request, ClientConnection client) throws BadRequestException {
    return new Exchange(request, client, bodyBudget.share(client::resumeReading), names, settings);
  }

  void taken(Exchange exchange) {
    dispatcher.onRequest(exchange);
  }

  void clientGone(Exchange exchange) {
    dispatcher.onClientGone(exchange);
  }

  /** From now on connections are closed as they fall idle, and the gateway calls itself unready. */
  void drain() {
    ready = false;
    draining = true;
    List.copyOf(idle).forEach(ClientConnection::closeGracefully);
  }

  void stopListening() {
    listener.close();
  }

  /** Whether a request is in hand or an answer not yet written. */
  boolean isBusy() {
    return open.stream()
        .anyMatch(
            c ->
                c.state() == ClientConnection.State.IN_HAND
                    || c.state() == ClientConnection.State.ANSWERING);
  }
}
