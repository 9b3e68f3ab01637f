package hazelspoke.back.http;

import hazelspoke.core.ByteBudget;
import hazelspoke.core.Clock;
import hazelspoke.core.HostCall;
import hazelspoke.core.HostTransport;
import hazelspoke.net.Buffers;
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

/** The connections to hosts: one pool a host, most recently used first, and a bound for all. */
public final class HostClient implements HostTransport {
  /** A rested connection is closed after this part of the time after which its host closes it. */
  private static final double IDLE_PART = 0.8;

  private static final long SWEEP_MS = 250;

  /**
   * How long a connection stays unused behind an answer, in milliseconds. A host may write an
   * answer twice, the second copy some milliseconds after the first. HTTP/1.1 has nothing that
   * tells that copy from the answer to the next request, so none may be written before it could
   * have come; bytes that come on an unused connection close it ({@link HostConnection#heard}).
   */
  public static final double REUSE_DELAY_MS = 20;

  private final EventLoop loop;
  private final Transport transport;
  private final Clock clock;
  private final Bootstrap bootstrap;
  private final double idleMs;
  private final int maxConnections;
  private final ByteBudget answerBudget;
  private final Map<String, Pool> pools = new HashMap<>();
  private int connections;

  public HostClient(
      EventLoop loop,
      Transport transport,
      Clock clock,
      ternscale.api.Settings.Limits limits,
      int maxConnections,
      ByteBudget answerBudget) {
    this.loop = loop;
    this.transport = transport;
    this.clock = clock;
    this.maxConnections = maxConnections;
    this.answerBudget = answerBudget;
    idleMs = IDLE_PART * limits.idleConnectionMs();
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(transport.clientChannelType())
            .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveAllocator())
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, limits.connectTimeoutMs()));
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  ByteBudget answerBudget() {
    return answerBudget;
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
      // Another process: what rests was opened to the one before it.
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
      pool.forgotten = true;
      pool.closeIdle();
    }
  }

  @Override
  public void retainOnly(Set<String> hosts) {
    List<String> gone = pools.keySet().stream().filter(host -> !hosts.contains(host)).toList();
    gone.forEach(this::remove);
  }

  /** How many hosts are known. */
  public int size() {
    return pools.size();
  }

  @Override
  public HostTransport.CallHandle start(String host, HostCall call) {
    Ticket ticket = new Ticket(call);
    Pool pool = pools.get(host);
    if (pool == null) {
      loop.execute(() -> ticket.fail(Result.CONNECT_FAILED));
      return ticket;
    }
    HostConnection idle = pool.takeIdle();
    if (idle != null) {
      ticket.connection = idle;
      ticket.beginAfterReading();
    } else if (connections < maxConnections || closeOneIdle()) {
      pool.connect(ticket);
    } else {
      loop.execute(() -> ticket.fail(Result.NOT_SENT));
    }
    return ticket;
  }

  @Override
  public void closeIdle(String host) {
    Pool pool = pools.get(host);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  private boolean closeOneIdle() {
    for (Pool pool : pools.values()) {
      HostConnection oldest = pool.idle.pollLast();
      if (oldest != null) {
        oldest.close();
        return true;
      }
    }
    return false;
  }

  private void sweep() {
    double before = clock.nowMs() - idleMs;
    for (Pool pool : pools.values()) {
      while (!pool.idle.isEmpty() && pool.idle.peekLast().restsSince < before) {
        pool.idle.pollLast().close();
      }
    }
  }

  /** One call under way; lets its owner stop waiting. */
  private final class Ticket implements HostTransport.CallHandle {
    private final HostCall call;
    private HostConnection connection;
    private boolean begun;
    private boolean over;

    private Ticket(HostCall call) {
      this.call = call;
    }

    /** Whoever asked may have left while this process stood still: that is heard first. */
    private void beginAfterReading() {
      SocketPolling.afterPoll(loop, this::begin);
    }

    private void begin() {
      // To ask may give this up, as it reads what the client has sent by now.
      boolean may = !over && call.maySendFirstByte();
      if (may && !over && connection.isOfListedHost()) {
        begun = true;
        connection.begin(call);
      } else {
        connection.close();
        fail(Result.NOT_SENT);
      }
    }

    private void fail(Result result) {
      if (!over) {
        call.onEnd(result, "");
      }
    }

    @Override
    public boolean isFirstByteSent() {
      return begun;
    }

    @Override
    public boolean isLastByteSent() {
      return connection != null && connection.isSent();
    }

    @Override
    public void cancel() {
      over = true;
      if (connection != null) {
        connection.giveUp();
      }
    }
  }

  /** The connections to one host. */
  public final class Pool {
    private final Deque<HostConnection> idle = new ArrayDeque<>();
    private InetSocketAddress address;
    private HostEntry host;
    private boolean forgotten;

    boolean isForgotten() {
      return forgotten;
    }

    String authority() {
      return address.getHostString() + ":" + address.getPort();
    }

    /** The most recently used connection that has settled, or null; closes expired ones. */
    private HostConnection takeIdle() {
      double now = clock.nowMs();
      Iterator<HostConnection> mostRecentFirst = idle.iterator();
      while (mostRecentFirst.hasNext()) {
        HostConnection connection = mostRecentFirst.next();
        double restedMs = now - connection.restsSince;
        if (restedMs < REUSE_DELAY_MS) {
          continue;
        }
        mostRecentFirst.remove();
        if (connection.isOpen() && restedMs <= idleMs) {
          return connection;
        }
        connection.close();
      }
      return null;
    }

    private void connect(Ticket ticket) {
      connections++;
      ChannelFuture connecting =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ticket.connection = new HostConnection(HostClient.this, Pool.this, ch);
                      ticket.connection.addTo(ch.pipeline());
                    }
                  })
              .connect(transport.connectAddress().apply(address));
      connecting.addListener(
          done -> {
            if (done.isSuccess()) {
              connecting.channel().closeFuture().addListener(closed -> connections--);
              ticket.beginAfterReading();
            } else {
              // On the loop: where no socket could be had this is told on another thread.
              loop.execute(() -> connectFailed(ticket, done.cause()));
            }
          });
    }

    private void connectFailed(Ticket ticket, Throwable cause) {
      // Not by the channel's end: one that got no descriptor has none.
      connections--;
      ticket.fail(reached(cause) ? Result.CONNECT_FAILED : Result.NOT_SENT);
    }

    /** Whether it is the host that failed, not this machine that lacks a descriptor or port. */
    private static boolean reached(Throwable cause) {
      return !(cause instanceof BindException || cause instanceof ChannelException);
    }

    void rest(HostConnection c) {
      if (forgotten) {
        c.close();
        return;
      }
      c.restsSince = clock.nowMs();
      idle.addFirst(c);
    }

    void closed(HostConnection c) {
      idle.remove(c);
    }

    private void closeIdle() {
      HostConnection c;
      while ((c = idle.pollFirst()) != null) {
        c.close();
      }
    }
  }
}
