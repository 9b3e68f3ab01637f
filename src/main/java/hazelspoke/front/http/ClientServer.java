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
import hazelspoke.front.http.ClientConnection.State;
import hazelspoke.http.HttpLimits;
import hazelspoke.net.Buffers;
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

/** Takes clients' connections in and keeps their number within the sockets there are. */
public final class ClientServer {
  private static final int BACKLOG = 4_096;

  private static final long SWEEP_MS = 200;

  /** A connection on which no request is open may be closed after this long. */
  private static final double IDLE_MS = 2_000;

  /** While there is plenty of room one that was of use may rest longer: its client may return. */
  private static final double IDLE_WITH_ROOM_MS = 10_000;

  /** A head may take 2 s; who has not ended it by now will not. */
  private static final double HEAD_MS = 2_500;

  /** A body of which nothing has come for so long will not become whole. */
  static final double READING_MS = 2_000;

  /** Nor one that goes on with less than this: a quarter of what slow clients send. */
  static final double LEAST_BYTES_PER_MS = 16;

  /** A client that has taken nothing of its answer for this long does not want it. */
  private static final double WRITING_MS = 3_000;

  /** A new connection is given this long to say something before another may take its place. */
  private static final double FRESH_MS = 10;

  /**
   * In a drain by operators who rests may use its connection for so long; with its answer it is
   * told to go. Of a client that comes back meanwhile no request crosses a close.
   */
  private static final double DRAIN_REST_MS = 1_500;

  /** In a leave: for a new client to speak, and for one that was told good-bye to go. */
  private static final double LEAVE_MS = 250;

  /** After a client could not be let in, until the next try. */
  private static final long ACCEPT_AGAIN_MS = 10;

  /** One turn accepts up to this many before the limit is looked at. */
  private static final int ACCEPTED_AT_ONCE = 16;

  private final EventLoop loop;
  private final Clock clock;
  private final Names names;
  private ClassRegistry classes;
  private final RequestHandler intake;
  private final ByteBudget bodyBudget;
  private final Log log;
  private final Violations violations;
  private final int maxConnections;

  /** All connections by what they are at, the longest so first. */
  private final Map<State, Set<ClientConnection>> byState = new EnumMap<>(State.class);

  private int open;
  private boolean makingRoom;
  private Channel listener;
  private boolean ready;
  private boolean shuttingDown;
  private boolean handedOver;

  /** Whether whatever still comes is refused: this process ends. */
  private boolean rejectingRequests;

  /** When the drain by operators began; infinite when there is none. Any thread may set it. */
  private volatile double drainingSince = Double.POSITIVE_INFINITY;

  public ClientServer(
      EventLoop loop,
      Clock clock,
      Names names,
      ClassRegistry classes,
      RequestHandler intake,
      ByteBudget bodyBudget,
      Log log,
      Violations violations,
      int maxConnections) {
    this.loop = loop;
    this.clock = clock;
    this.names = names;
    this.classes = classes;
    this.intake = intake;
    this.bodyBudget = bodyBudget;
    this.log = log;
    this.violations = violations;
    this.maxConnections = Math.max(1, maxConnections - ACCEPTED_AT_ONCE);
    for (State state : State.values()) {
      byState.put(state, new LinkedHashSet<>());
    }
    // After reading: who has spoken while this process stood still is not taken for silent.
    loop.scheduleWithFixedDelay(
        () -> SocketPolling.afterPoll(loop, this::sweep),
        SWEEP_MS,
        SWEEP_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Begins to listen.
   *
   * @param shared whether other processes may listen at the same address meanwhile
   */
  public ChannelFuture listen(Transport transport, InetSocketAddress address, boolean shared) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(transport.serverChannelType())
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .handler(new AcceptFailures())
            .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveAllocator())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
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
    ClientConnection connection = new ClientConnection(this, ch);
    ch.pipeline()
        .addLast(
            new FirstBytesHandler(connection),
            new StrictRequestDecoder(HttpLimits.decoderConfig()),
            connection);
    byState.get(connection.state()).add(connection);
    open++;
    if (open >= maxConnections && !makingRoom) {
      listener.config().setAutoRead(false);
      makeRoomAfter(0);
    }
  }

  /**
   * Accepting may fail for a moment, as a client leaves or descriptors run out. Netty's own handler
   * would let nobody in for a second then, which is longer than many requests have.
   */
  private final class AcceptFailures extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.failure("a client could not be let in", cause);
      ctx.channel().config().setAutoRead(false);
      if (!makingRoom) {
        makeRoomAfter(ACCEPT_AGAIN_MS);
      }
    }
  }

  private void makeRoomAfter(long delayMs) {
    makingRoom = true;
    loop.schedule(
        () -> SocketPolling.afterPoll(loop, this::makeRoom), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * At the limit the least useful connection makes room: one that was told good-bye, one that never
   * said anything, one that rests, one that does not get on. This meets floods of any such kind.
   * All that has come in is read first, so that no new client with a request is taken for a silent
   * one. With nothing to spare, new connections wait in the kernel.
   */
  private void makeRoom() {
    makingRoom = false;
    double now = clock.nowMs();
    while (open >= maxConnections) {
      ClientConnection victim = victim(now);
      if (victim == null) {
        makeRoomAfter((long) FRESH_MS);
        return;
      }
      victim.makeRoom();
    }
    listener.config().setAutoRead(true);
  }

  private ClientConnection victim(double now) {
    for (State state : List.of(State.CLOSING, State.FRESH, State.HEAD, State.IDLE, State.READING)) {
      Set<ClientConnection> candidates = byState.get(state);
      if (!candidates.isEmpty()) {
        ClientConnection longest = candidates.iterator().next();
        if (now - longest.enteredAt() >= FRESH_MS) {
          return longest;
        }
        // The new ones will speak or make room in a moment, and who was answered has read it by
        // then: no resting one need leave for them.
        return null;
      }
    }
    return null;
  }

  public void stateChanged(ClientConnection connection, State before) {
    if (byState.get(before).remove(connection)) {
      byState.get(connection.state()).add(connection);
    }
  }

  public void connectionClosed(ClientConnection connection) {
    if (byState.get(connection.state()).remove(connection)) {
      open--;
    }
  }

  private void sweep() {
    boolean go = clock.nowMs() - drainingSince >= DRAIN_REST_MS;
    double restMs = open > maxConnections / 2 ? IDLE_MS : IDLE_WITH_ROOM_MS;
    expire(State.FRESH, go ? DRAIN_REST_MS : IDLE_MS);
    expire(State.IDLE, go ? 0 : restMs);
    expire(State.HEAD, HEAD_MS);
    double now = clock.nowMs();
    for (ClientConnection c : List.copyOf(byState.get(State.READING))) {
      if (c.isStalled(now)) {
        c.expire();
      }
    }
    for (ClientConnection c : List.copyOf(byState.get(State.ANSWERING))) {
      if (c.isUnread(now, WRITING_MS)) {
        c.expire();
      }
    }
  }

  private void expire(State state, double afterMs) {
    double before = clock.nowMs() - afterMs;
    for (ClientConnection c : List.copyOf(byState.get(state))) {
      if (c.enteredAt() > before) {
        return;
      }
      c.expire();
    }
  }

  /** Counts what must never happen. */
  void reportViolation(Violations.Kind kind, String request) {
    violations.count(kind, request);
  }

  /** Notes an error of this program's own. */
  void logFailure(Throwable cause) {
    log.failure("a connection of a client's", cause);
  }

  /** What may be asked for from now on. */
  public void reload(ClassRegistry next) {
    classes = next;
  }

  public double nowMs() {
    return clock.nowMs();
  }

  public boolean isReady() {
    return ready && !isDraining();
  }

  /** Whether clients are told with each answer to go elsewhere. */
  public boolean isClosingAfterResponse() {
    return shuttingDown || handedOver || isDraining();
  }

  public boolean isShuttingDown() {
    return shuttingDown;
  }

  private boolean isDraining() {
    return drainingSince < Double.POSITIVE_INFINITY;
  }

  /**
   * Begins or ends a drain by operators: the gateway says that it is unready, every answer is its
   * connection's last, and after a while what rests is closed. In force at once; any thread may
   * call it.
   */
  public void setDraining(boolean on) {
    if (on != isDraining()) {
      drainingSince = on ? clock.nowMs() : Double.POSITIVE_INFINITY;
    }
  }

  Exchange exchange(HttpRequest request, ClientConnection client) throws BadRequestException {
    Request head = RequestHead.read(request, names, classes, clock.nowMs());
    return new Exchange(head, client, bodyBudget.share(client::resumeReading));
  }

  /** Whether bodies may be held until they are whole, up to the larger of the bounds. */
  boolean hasRoomForBodies() {
    return bodyBudget.hasHeadroom();
  }

  /** Whether another request with the same id is open; that one goes on. */
  public boolean isOpen(Exchange exchange) {
    return intake.isOpen(exchange.request().txn());
  }

  public void requestAccepted(Exchange exchange) {
    intake.onRequest(exchange);
  }

  public void requestComplete(Exchange exchange) {
    intake.onRequestComplete(exchange);
  }

  public void clientDisconnected(Exchange exchange) {
    intake.onClientDisconnected(exchange);
  }

  /** The answer to a request that was taken has left, or its connection has ended before that. */
  void responseWritten(Exchange exchange) {
    intake.onAnswerWritten(exchange);
  }

  /**
   * The gateway is unready, and goes on serving: who has a connection may use it to the end, as the
   * others may be busy or away themselves. At the end all come to the others at once.
   */
  public void markUnready() {
    ready = false;
  }

  /**
   * Another process takes what comes to this address from now on. This one goes on saying that it
   * is ready, as the gateway is, and sends clients over with the answers that they get.
   */
  public void handOver() {
    handedOver = true;
    closeListener();
  }

  /**
   * Nothing new comes any more; what rests may go, and every answer is its connection's last. Who
   * waits in the kernel was accepted by this machine: all of them are taken in first, as far as
   * there is room, and the rest as others leave.
   */
  public void stopListening() {
    shuttingDown = true;
    List.copyOf(byState.get(State.IDLE)).forEach(ClientConnection::expire);
    closeListener();
  }

  /** Closes it with nobody left waiting; whether it is closed. */
  private boolean closeListener() {
    if (!listener.isOpen()) {
      return true;
    }
    if (listener instanceof Listener own) {
      return own.acceptPendingAndClose(maxConnections - open);
    }
    listener.close();
    return true;
  }

  /**
   * This process ends: whoever's request is still coming is refused at once, also on connections
   * that come from now on. What had come whole has to be answered before this.
   */
  public void rejectIncompleteRequests() {
    closeListener();
    rejectingRequests = true;
    for (State state : State.values()) {
      List.copyOf(byState.get(state)).forEach(ClientConnection::rejectIncompleteRequest);
    }
  }

  /** Whether no request is taken any more, however late it comes. */
  boolean isRejectingRequests() {
    return rejectingRequests;
  }

  /** Counts whoever has no answer as this process ends; nobody has any more time then. */
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
   * Whether nothing is owed to anybody any more: asked again and again in a leave, each time after
   * the sockets were read. Who is new has a moment to say something, and who was told good-bye one
   * to go: an end on what a client still sends would reset the answer on its way to it.
   */
  public boolean hasNoPendingClients() {
    expire(State.FRESH, LEAVE_MS);
    double before = clock.nowMs() - LEAVE_MS;
    return closeListener()
        && byState.entrySet().stream()
            .allMatch(
                of ->
                    of.getKey() == State.CLOSING
                        ? of.getValue().stream().allMatch(c -> c.enteredAt() <= before)
                        : of.getValue().isEmpty());
  }
}
