package hazelspoke.front.http;

import hazelspoke.core.ByteBudget;
import hazelspoke.core.ClassRegistry;
import hazelspoke.core.Clock;
import hazelspoke.core.Exchange;
import hazelspoke.core.Log;
import hazelspoke.core.Names;
import hazelspoke.core.Request;
import hazelspoke.core.RequestHandler;
import hazelspoke.core.Violations;
import hazelspoke.core.WaitTracker;
import hazelspoke.net.Buffers;
import hazelspoke.net.DescriptorAccount;
import hazelspoke.net.Listener;
import hazelspoke.net.SocketPolling;
import hazelspoke.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Accepts client connections and keeps their number within the available sockets. */
public final class ClientServer {
  private static final int BACKLOG = 4_096;

  private static final long EXPIRY_CHECK_INTERVAL_MS = 200;

  /** Idle timeout of a connection without an open request. */
  private static final double IDLE_TIMEOUT_MS = 2_000;

  /**
   * Idle timeout after a request while at most half of the connections are in use: the client may
   * send another.
   */
  private static final double SPARE_IDLE_TIMEOUT_MS = 10_000;

  /** Timeout of a request head; clients may take 2 s. */
  private static final double HEAD_TIMEOUT_MS = 2_500;

  /** Timeout of a request body without new bytes. */
  static final double BODY_TIMEOUT_MS = 2_000;

  /** Minimum rate of a request body: a quarter of the rate of slow clients. */
  static final double MIN_BYTES_PER_MS = 16;

  /** Timeout of a client that reads nothing of its response. */
  private static final double UNREAD_TIMEOUT_MS = 3_000;

  /** Time that a connection has in its state before it may be evicted for a new one. */
  private static final double MIN_EVICTION_AGE_MS = 10;

  /**
   * How long idle connections stay open in a drain by operators. A client that returns within this
   * time gets a response with {@code Connection: close}, so that its request does not cross a
   * close.
   */
  private static final double DRAIN_IDLE_MS = 1_500;

  /**
   * Time in a shutdown for a new client to send bytes, and for a client to close its connection
   * after the last response.
   */
  private static final double SHUTDOWN_GRACE_MS = 250;

  /** Delay of the next accept after a failed one. */
  private static final long ACCEPT_RETRY_MS = 10;

  /** One event-loop iteration accepts up to this many connections before the limit is checked. */
  private static final int MAX_ACCEPTS_PER_ITERATION = 16;

  private final EventLoop loop;
  private final Clock clock;
  private final Names names;
  private ClassRegistry classes;
  private final RequestHandler requestHandler;
  private final ByteBudget requestBudget;
  private final Log log;
  private final Violations violations;
  private final DescriptorAccount descriptors;
  private final int maxConnections;

  /** All connections by state, the longest in that state first. */
  private final Map<ConnectionState, Set<ClientConnection>> byState =
      new EnumMap<>(ConnectionState.class);

  private int openCount;
  private boolean evictionScheduled;
  private Channel listener;
  private boolean ready;
  private boolean shuttingDown;
  private boolean handedOver;

  /** Whether every further request is rejected, as this process ends. */
  private boolean rejectingRequests;

  /** When the drain by operators began; infinite without one. Any thread may set it. */
  private volatile double drainingSinceMs = Double.POSITIVE_INFINITY;

  public ClientServer(
      EventLoop loop,
      Clock clock,
      Names names,
      ClassRegistry classes,
      RequestHandler requestHandler,
      ByteBudget requestBudget,
      Log log,
      Violations violations,
      DescriptorAccount descriptors,
      int maxConnections) {
    this.loop = loop;
    this.clock = clock;
    this.names = names;
    this.classes = classes;
    this.requestHandler = requestHandler;
    this.requestBudget = requestBudget;
    this.log = log;
    this.violations = violations;
    this.descriptors = descriptors;
    this.maxConnections = Math.max(1, maxConnections - MAX_ACCEPTS_PER_ITERATION);
    for (ConnectionState state : ConnectionState.values()) {
      byState.put(state, new LinkedHashSet<>());
    }
    // After pending input was read, so that bytes received during a stall count.
    loop.scheduleWithFixedDelay(
        () -> SocketPolling.afterPoll(loop, this::closeExpired),
        EXPIRY_CHECK_INTERVAL_MS,
        EXPIRY_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Starts to listen.
   *
   * @param shared whether other processes may listen at the same address at the same time
   */
  public ChannelFuture listen(Transport transport, InetSocketAddress address, boolean shared) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(transport.serverChannelType())
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .handler(new AcceptFailureHandler())
            .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveAllocator())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
            .childOption(ChannelOption.SO_SNDBUF, Buffers.CLIENT_SEND_BUFFER_BYTES)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    accept(ch);
                  }
                });
    if (shared) {
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    ChannelFuture binding = bootstrap.bind(transport.bindAddress().apply(address));
    listener = binding.channel();
    ready = true;
    return binding;
  }

  private void accept(Channel ch) {
    descriptors.opened(DescriptorAccount.Owner.CLIENTS, ch);
    ClientConnection connection = new ClientConnection(this, ch);
    connection.addTo(ch.pipeline());
    byState.get(connection.state()).add(connection);
    openCount++;
    if (isFull() && !evictionScheduled) {
      listener.config().setAutoRead(false);
      scheduleEviction(0);
    }
  }

  /** Closed connections count until their descriptors are released. */
  private boolean isFull() {
    return descriptors.held(DescriptorAccount.Owner.CLIENTS) >= maxConnections;
  }

  /**
   * Handles failures to accept, which may pass soon: a client disconnected, or descriptors ran out.
   * Netty's own handler would stop accepting for 1 s, which exceeds the deadline of many requests.
   */
  private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      descriptors.failed();
      log.failure("cannot accept a client connection", cause);
      ctx.channel().config().setAutoRead(false);
      if (!evictionScheduled) {
        scheduleEviction(ACCEPT_RETRY_MS);
      }
    }
  }

  private void scheduleEviction(long delayMs) {
    evictionScheduled = true;
    loop.schedule(
        () -> SocketPolling.afterPoll(loop, this::evictConnections),
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Closes the least useful connection at the limit: one past its last response, one that never
   * sent anything, one with an incomplete head, an idle one, or one with an incomplete body, in
   * this order. This limits floods of any such kind. Pending input is read first, so that a new
   * client that has sent a request does not count as unused. If none can be closed, new connections
   * wait in the kernel.
   */
  private void evictConnections() {
    evictionScheduled = false;
    double now = clock.nowMs();
    while (openCount >= maxConnections) {
      ClientConnection victim = selectVictim(now);
      if (victim == null) {
        scheduleEviction((long) MIN_EVICTION_AGE_MS);
        return;
      }
      victim.evict();
    }
    if (isFull()) {
      scheduleEviction(0);
      return;
    }
    listener.config().setAutoRead(true);
  }

  private ClientConnection selectVictim(double now) {
    for (ConnectionState state :
        List.of(
            ConnectionState.CLOSING,
            ConnectionState.FRESH,
            ConnectionState.HEAD,
            ConnectionState.IDLE,
            ConnectionState.READING)) {
      Set<ClientConnection> candidates = byState.get(state);
      if (!candidates.isEmpty()) {
        ClientConnection longest = candidates.iterator().next();
        if (now - longest.enteredAtMs() >= MIN_EVICTION_AGE_MS) {
          return longest;
        }
        // Within that time, new connections send bytes or may be evicted, and answered clients
        // have read their response: no idle connection needs to be closed for them.
        return null;
      }
    }
    return null;
  }

  public void stateChanged(ClientConnection connection, ConnectionState previous) {
    if (byState.get(previous).remove(connection)) {
      byState.get(connection.state()).add(connection);
    }
  }

  public void connectionClosed(ClientConnection connection) {
    if (byState.get(connection.state()).remove(connection)) {
      openCount--;
    }
  }

  private void closeExpired() {
    boolean closesIdle = clock.nowMs() - drainingSinceMs >= DRAIN_IDLE_MS;
    double idleTimeoutMs = openCount > maxConnections / 2 ? IDLE_TIMEOUT_MS : SPARE_IDLE_TIMEOUT_MS;
    closeOlderThan(ConnectionState.FRESH, closesIdle ? DRAIN_IDLE_MS : IDLE_TIMEOUT_MS);
    closeOlderThan(ConnectionState.IDLE, closesIdle ? 0 : idleTimeoutMs);
    closeOlderThan(ConnectionState.HEAD, HEAD_TIMEOUT_MS);
    for (ClientConnection connection : List.copyOf(byState.get(ConnectionState.READING))) {
      if (connection.isStalled()) {
        connection.expire();
      }
    }
    for (ClientConnection connection : List.copyOf(byState.get(ConnectionState.ANSWERING))) {
      if (connection.isUnread(UNREAD_TIMEOUT_MS)) {
        connection.expire();
      }
    }
  }

  private void closeOlderThan(ConnectionState state, double afterMs) {
    double enteredBeforeMs = clock.nowMs() - afterMs;
    for (ClientConnection connection : List.copyOf(byState.get(state))) {
      if (connection.enteredAtMs() > enteredBeforeMs) {
        return;
      }
      connection.expire();
    }
  }

  /** Logs that a connection gave way, as there was no room for what it held. */
  void logGaveWay(String request) {
    log.line(
        "no room: request %s gave way, %d bytes of requests are held"
            .formatted(request, requestBudget.usedBytes()));
  }

  /** Logs that a connection is closed by this side. */
  void logClosed(String request) {
    log.detail(() -> "closing the connection of request " + request);
  }

  /** Logs that a request is rejected before it was accepted. */
  void logRejected(String request, int status, String why) {
    log.detail(() -> "rejected request %s with %d: %s".formatted(request, status, why));
  }

  /** Creates a tracker for a connection of a client. */
  WaitTracker waitTracker() {
    return new WaitTracker(clock, "the client", "the host");
  }

  /** Counts and logs a violation of the gateway's guarantees. */
  void reportViolation(Violations.Kind kind, String request) {
    violations.count(kind, request);
  }

  /** Logs an unexpected exception of this program. */
  void logFailure(Throwable cause) {
    log.failure("unexpected error on a client connection", cause);
  }

  /** Replaces the classes of requests that clients may use. */
  public void reload(ClassRegistry next) {
    classes = next;
  }

  public double nowMs() {
    return clock.nowMs();
  }

  public boolean isReady() {
    return ready && !isDraining();
  }

  /** Whether every response closes its connection, so that clients move to another gateway. */
  public boolean isClosingAfterResponse() {
    return shuttingDown || handedOver || isDraining();
  }

  public boolean isShuttingDown() {
    return shuttingDown;
  }

  private boolean isDraining() {
    return drainingSinceMs < Double.POSITIVE_INFINITY;
  }

  /**
   * Begins or ends a drain by operators: the gateway reports that it is unready, every response
   * closes its connection, and idle connections are closed after {@link #DRAIN_IDLE_MS}. Takes
   * effect at once; any thread may call it.
   */
  public void setDraining(boolean on) {
    if (on != isDraining()) {
      drainingSinceMs = on ? clock.nowMs() : Double.POSITIVE_INFINITY;
    }
  }

  Exchange exchange(HttpRequest request, ClientConnection client) throws BadRequestException {
    Request head = RequestHead.read(request, names, classes, clock.nowMs());
    return new Exchange(head, client, share(client));
  }

  /** Creates a share that counts what a connection makes this process hold. */
  ByteBudget.Share share(ClientConnection client) {
    return requestBudget.share(client);
  }

  /** Whether bodies up to the larger limit may be buffered until they are complete. */
  boolean hasRoomForBodies() {
    return requestBudget.hasHeadroom();
  }

  /** Claims the id of a request that is accepted next; false if another request has it. */
  boolean claimId(Exchange exchange) {
    return requestHandler.claimId(exchange);
  }

  /** How long bytes that are being read have waited, in milliseconds. */
  double estimatedWaitMs() {
    return requestHandler.estimatedWaitMs();
  }

  public void requestAccepted(Exchange exchange) {
    requestHandler.onRequest(exchange);
  }

  public void requestComplete(Exchange exchange) {
    requestHandler.onRequestComplete(exchange);
  }

  public void requestMayBeComplete(Exchange exchange, double sinceMs) {
    requestHandler.onRequestMayBeComplete(exchange, sinceMs);
  }

  public void clientDisconnected(Exchange exchange) {
    requestHandler.onClientDisconnected(exchange);
  }

  /**
   * Called when the response to an accepted request was written or its connection ended before.
   *
   * @param unreadMs how long the client was waited for to read it, in milliseconds
   */
  void responseWritten(Exchange exchange, double unreadMs) {
    requestHandler.onAnswerWritten(exchange, unreadMs);
  }

  /**
   * Marks the gateway as unready while it still serves: open connections may be used until the end,
   * as the other gateways may be busy or down. At the end all their clients move to the others at
   * once.
   */
  public void markUnready() {
    ready = false;
  }

  /**
   * Leaves new connections at this address to another process. This process still reports that it
   * is ready, as the gateway is, and every response closes its connection, so that clients
   * reconnect to the other one.
   */
  public void handOver() {
    handedOver = true;
    closeListener();
  }

  /**
   * Stops listening, closes idle connections, and makes every response close its connection.
   * Connections in the accept queue were already established by the kernel: all of them are
   * accepted first, as far as the limit allows, and the others once connections close.
   */
  public void stopListening() {
    shuttingDown = true;
    List.copyOf(byState.get(ConnectionState.IDLE)).forEach(ClientConnection::expire);
    closeListener();
  }

  /** Closes the listener once its accept queue is empty; returns whether it is closed. */
  private boolean closeListener() {
    if (!listener.isOpen()) {
      return true;
    }
    if (listener instanceof Listener closeableListener) {
      int free = maxConnections - descriptors.held(DescriptorAccount.Owner.CLIENTS);
      return closeableListener.acceptPendingAndClose(free);
    }
    listener.close();
    return true;
  }

  /**
   * Rejects all incomplete requests as this process ends, also on connections accepted later.
   * Complete requests have to be answered before this call.
   */
  public void rejectIncompleteRequests() {
    closeListener();
    rejectingRequests = true;
    for (ConnectionState state : ConnectionState.values()) {
      List.copyOf(byState.get(state)).forEach(ClientConnection::rejectIncompleteRequest);
    }
  }

  /** Whether every further request is rejected. */
  boolean isRejectingRequests() {
    return rejectingRequests;
  }

  /** Reports each request without a response as a violation when this process exits. */
  public void reportUnansweredAtExit() {
    for (Set<ClientConnection> connections : byState.values()) {
      for (ClientConnection connection : connections) {
        if (connection.hasPendingResponse()) {
          reportViolation(Violations.Kind.EXIT_UNANSWERED, connection.describe());
        }
      }
    }
  }

  /**
   * Whether no client has a pending response; polled during a shutdown, each time after pending
   * input was read. New clients have {@link #SHUTDOWN_GRACE_MS} to send bytes, and clients past
   * their last response as long to close: a close with unread input would reset the response on its
   * way to the client.
   */
  public boolean hasNoPendingClients() {
    closeOlderThan(ConnectionState.FRESH, SHUTDOWN_GRACE_MS);
    double enteredBeforeMs = clock.nowMs() - SHUTDOWN_GRACE_MS;
    return closeListener()
        && byState.entrySet().stream()
            .allMatch(
                entry ->
                    entry.getKey() == ConnectionState.CLOSING
                        ? entry.getValue().stream()
                            .allMatch(connection -> connection.enteredAtMs() <= enteredBeforeMs)
                        : entry.getValue().isEmpty());
  }
}
