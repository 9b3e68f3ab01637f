package hazelspoke.back.http;

import hazelspoke.core.ByteBudget;
import hazelspoke.core.Clock;
import hazelspoke.core.HostCall;
import hazelspoke.core.HostTransport;
import hazelspoke.core.SendDecision;
import hazelspoke.core.UnreadInput;
import hazelspoke.core.WaitTracker;
import hazelspoke.net.Buffers;
import hazelspoke.net.DescriptorAccount;
import hazelspoke.net.SocketPolling;
import hazelspoke.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ternscale.api.HostEntry;
import ternscale.api.Outcome.Result;

/** Pools connections to hosts, most recently used first, within one limit for all hosts. */
public final class HostClient implements HostTransport {
  /** Idle connections are closed after this fraction of the host's own idle timeout. */
  private static final double IDLE_TIMEOUT_FRACTION = 0.8;

  private static final long IDLE_CHECK_INTERVAL_MS = 250;

  /**
   * How long a connection is not reused after a response, in milliseconds. A host may send a
   * response twice, the second copy some milliseconds after the first. HTTP/1.1 cannot distinguish
   * that copy from the response to the next request, so no request is sent before the copy would
   * have arrived; bytes that arrive on an idle connection close it ({@link
   * HostConnection#bytesReceived}).
   */
  public static final double REUSE_DELAY_MS = 20;

  /** How long a call waits for a socket of this process, in milliseconds. */
  static final double MAX_SOCKET_WAIT_MS = 250;

  /** Delay until the next try after a socket could not be opened. */
  private static final long SOCKET_RETRY_MS = 10;

  /** About one round trip. */
  static final long ROUND_TRIP_MS = 2;

  private final EventLoop loop;
  private final Transport transport;
  private final Clock clock;
  private final Bootstrap bootstrap;
  private final double idleTimeoutMs;
  private final int maxConnections;
  private final ByteBudget responseBudget;
  private final DescriptorAccount descriptors;
  private final Map<String, Pool> pools = new HashMap<>();

  /** Calls that wait for a socket, the longest waiting first. */
  private final Deque<PendingCall> waitingForSocket = new ArrayDeque<>();

  private boolean isRetryScheduled;

  public HostClient(
      EventLoop loop,
      Transport transport,
      Clock clock,
      ternscale.api.Settings.Limits limits,
      int maxConnections,
      ByteBudget responseBudget,
      DescriptorAccount descriptors) {
    this.loop = loop;
    this.transport = transport;
    this.clock = clock;
    this.maxConnections = maxConnections;
    this.responseBudget = responseBudget;
    this.descriptors = descriptors;
    descriptors.setReleaseListener(this::serveWaiting);
    idleTimeoutMs = IDLE_TIMEOUT_FRACTION * limits.idleConnectionMs();
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(transport.clientChannelType())
            .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveAllocator())
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, limits.connectTimeoutMs()));
    loop.scheduleAtFixedRate(
        this::closeExpired, IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Creates a tracker for a connection to a host. */
  WaitTracker waitTracker() {
    return new WaitTracker(clock, "the host", "the client");
  }

  ByteBudget responseBudget() {
    return responseBudget;
  }

  @Override
  public HostEntry setAddress(HostEntry host, InetSocketAddress address) {
    HostEntry displaced = null;
    for (Pool other : pools.values()) {
      if (address.equals(other.address)
          && !other.host.host().equals(host.host())
          && other.host.startedAt() < host.startedAt()) {
        displaced = other.host;
      }
    }
    if (displaced != null) {
      remove(displaced.host());
    }
    Pool pool = pools.computeIfAbsent(host.host(), name -> new Pool());
    if (pool.host != null
        && (!address.equals(pool.address) || host.startedAt() != pool.host.startedAt())) {
      // A new process: idle connections lead to its predecessor.
      pool.closeIdle();
    }
    pool.address = address;
    pool.host = host;
    return displaced;
  }

  @Override
  public void remove(String host) {
    Pool pool = pools.remove(host);
    if (pool != null) {
      pool.removed = true;
      pool.closeIdle();
    }
  }

  @Override
  public void retainOnly(Set<String> hosts) {
    List<String> unlisted = pools.keySet().stream().filter(host -> !hosts.contains(host)).toList();
    unlisted.forEach(this::remove);
  }

  /** Returns the number of known hosts. */
  public int size() {
    return pools.size();
  }

  @Override
  public HostTransport.CallHandle start(String host, HostCall call) {
    PendingCall pendingCall = new PendingCall(call);
    Pool pool = pools.get(host);
    if (pool == null) {
      loop.execute(() -> pendingCall.fail(Result.CONNECT_FAILED));
      return pendingCall;
    }
    HostConnection idle = pool.takeIdle();
    if (idle != null) {
      pendingCall.connection = idle;
      pendingCall.beginAfterReading();
    } else if (waitingForSocket.isEmpty() && hasFreeSocket()) {
      pool.connect(pendingCall);
    } else {
      awaitSocket(pool, pendingCall);
    }
    return pendingCall;
  }

  private boolean hasFreeSocket() {
    return descriptors.held(DescriptorAccount.Owner.HOSTS) < maxConnections;
  }

  /**
   * Lets a call wait until this process has a socket for it. The shortage is no fault of the host,
   * and often passes within an iteration of the event loop.
   */
  private void awaitSocket(Pool pool, PendingCall pendingCall) {
    pendingCall.pool = pool;
    if (Double.isNaN(pendingCall.waitsForSocketSinceMs)) {
      pendingCall.waitsForSocketSinceMs = clock.nowMs();
    }
    waitingForSocket.addLast(pendingCall);
    closeOneIdle();
    scheduleRetry();
  }

  private void scheduleRetry() {
    if (!isRetryScheduled) {
      isRetryScheduled = true;
      loop.schedule(this::retryWaiting, SOCKET_RETRY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void retryWaiting() {
    isRetryScheduled = false;
    serveWaiting();
    double waitingSinceMs = clock.nowMs() - MAX_SOCKET_WAIT_MS;
    List<PendingCall> expired =
        waitingForSocket.stream()
            .filter(call -> call.waitsForSocketSinceMs <= waitingSinceMs)
            .toList();
    waitingForSocket.removeAll(expired);
    expired.forEach(call -> call.fail(Result.NOT_SENT));
    if (!waitingForSocket.isEmpty()) {
      closeOneIdle();
      scheduleRetry();
    }
  }

  /** Gives free sockets and idle connections to the calls that wait. */
  private void serveWaiting() {
    int calls = waitingForSocket.size();
    for (int i = 0; i < calls; i++) {
      PendingCall next = waitingForSocket.pollFirst();
      if (next == null) {
        return;
      }
      if (!next.cancelled && !serve(next)) {
        waitingForSocket.addLast(next);
      }
    }
  }

  /** Returns whether the call does not wait any more. */
  private boolean serve(PendingCall waiting) {
    if (waiting.pool.isRemoved()) {
      waiting.fail(Result.NOT_SENT);
      return true;
    }
    HostConnection idle = waiting.pool.takeIdle();
    if (idle != null) {
      waiting.connection = idle;
      waiting.beginAfterReading();
      return true;
    }
    if (!hasFreeSocket()) {
      return false;
    }
    waiting.pool.connect(waiting);
    return true;
  }

  @Override
  public void closeIdle(String host) {
    Pool pool = pools.get(host);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  private void closeOneIdle() {
    for (Pool pool : pools.values()) {
      HostConnection oldest = pool.idle.pollLast();
      if (oldest != null) {
        oldest.close();
        return;
      }
    }
  }

  private void closeExpired() {
    double expiredSinceMs = clock.nowMs() - idleTimeoutMs;
    for (Pool pool : pools.values()) {
      while (!pool.idle.isEmpty() && pool.idle.peekLast().idleSinceMs < expiredSinceMs) {
        pool.idle.pollLast().close();
      }
    }
  }

  /** A call in progress, which its owner can cancel. */
  private final class PendingCall implements HostTransport.CallHandle {
    private final HostCall call;
    private HostConnection connection;
    private boolean firstByteSent;
    private boolean cancelled;

    /** The host to connect to; null unless the call had to wait for a socket. */
    private Pool pool;

    /** Since when the call waits for a socket of this process; NaN if it never did. */
    private double waitsForSocketSinceMs = Double.NaN;

    private PendingCall(HostCall call) {
      this.call = call;
    }

    /** Begins after pending input was read, as the client may have disconnected during a stall. */
    private void beginAfterReading() {
      SocketPolling.afterPoll(loop, this::begin);
    }

    private void begin() {
      // May cancel this call, as it reads pending input of the client.
      SendDecision decision = cancelled ? SendDecision.DO_NOT_SEND : call.maySend();
      if (decision == SendDecision.ASK_AGAIN && connection.isOpen()) {
        long delayMs = (long) UnreadInput.CATCH_UP_MS;
        loop.schedule(this::beginAfterReading, delayMs, TimeUnit.MILLISECONDS);
        return;
      }
      if (decision == SendDecision.SEND && !cancelled && connection.isOfListedHost()) {
        firstByteSent = true;
        connection.begin(call);
      } else {
        connection.close();
        fail(Result.NOT_SENT);
      }
    }

    private void fail(Result result) {
      if (!cancelled) {
        call.onEnd(result, "");
      }
    }

    @Override
    public boolean isFirstByteSent() {
      return firstByteSent;
    }

    @Override
    public boolean hasReachedHost() {
      return connection != null || Double.isNaN(waitsForSocketSinceMs);
    }

    @Override
    public boolean isLastByteSent() {
      return connection != null && connection.isSent();
    }

    @Override
    public boolean deliverIncompleteAnswer() {
      return connection != null && connection.deliverIncompleteResponse(call);
    }

    @Override
    public String describeWait() {
      if (connection != null) {
        return connection.describeWait();
      }
      return Double.isNaN(waitsForSocketSinceMs)
          ? "its connection is not open"
          : "waiting for a socket of this process for %.0f ms"
              .formatted(clock.nowMs() - waitsForSocketSinceMs);
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (connection != null) {
        connection.abandonCall();
      }
    }
  }

  /** The connections to one host, and its address. */
  public final class Pool {
    private final Deque<HostConnection> idle = new ArrayDeque<>();
    private InetSocketAddress address;
    private HostEntry host;
    private boolean removed;

    boolean isRemoved() {
      return removed;
    }

    String authority() {
      return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Removes the most recently used connection past {@link #REUSE_DELAY_MS}, or returns null.
     * Closes expired connections that it passes.
     */
    private HostConnection takeIdle() {
      double now = clock.nowMs();
      Iterator<HostConnection> mostRecentFirst = idle.iterator();
      while (mostRecentFirst.hasNext()) {
        HostConnection connection = mostRecentFirst.next();
        double idleForMs = now - connection.idleSinceMs;
        if (idleForMs < REUSE_DELAY_MS) {
          continue;
        }
        mostRecentFirst.remove();
        if (connection.isOpen() && idleForMs <= idleTimeoutMs) {
          return connection;
        }
        connection.close();
      }
      return null;
    }

    private void connect(PendingCall pendingCall) {
      ChannelFuture connecting =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      descriptors.opened(DescriptorAccount.Owner.HOSTS, ch);
                      pendingCall.connection = new HostConnection(HostClient.this, Pool.this, ch);
                      pendingCall.connection.addTo(ch.pipeline());
                    }
                  })
              .connect(transport.connectAddress().apply(address));
      connecting.addListener(
          done -> {
            if (done.isSuccess()) {
              pendingCall.beginAfterReading();
            } else {
              // On the loop, as a failure to open a socket is reported on another thread.
              loop.execute(() -> onConnectFailed(pendingCall, done.cause()));
            }
          });
    }

    private void onConnectFailed(PendingCall pendingCall, Throwable cause) {
      if (isHostFailure(cause)) {
        pendingCall.fail(Result.CONNECT_FAILED);
      } else if (!pendingCall.cancelled) {
        descriptors.failed();
        pendingCall.connection = null;
        awaitSocket(this, pendingCall);
      }
    }

    /** Whether the failure is the host's, not a lack of descriptors or ports on this machine. */
    private static boolean isHostFailure(Throwable cause) {
      return !(cause instanceof BindException || cause instanceof ChannelException);
    }

    void addIdle(HostConnection connection) {
      if (removed) {
        connection.close();
        return;
      }
      connection.idleSinceMs = clock.nowMs();
      idle.addFirst(connection);
      if (!waitingForSocket.isEmpty()) {
        scheduleRetry();
      }
    }

    void remove(HostConnection connection) {
      idle.remove(connection);
    }

    private void closeIdle() {
      HostConnection connection;
      while ((connection = idle.pollFirst()) != null) {
        connection.close();
      }
    }
  }
}
