package hazelspoke.agreement.net;

import hazelspoke.agreement.member.Transport;
import hazelspoke.agreement.wire.MalformedException;
import hazelspoke.net.Addresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The connections to the other members. A member opens a connection to each member that it sends
 * packets to, and receives replies on it; packets that cannot be sent are dropped. Runs on the
 * event loop.
 */
final class Peers implements Transport {
  /** Receives packets and events. */
  interface Inbox {
    void packet(String from, byte[] packet, Consumer<byte[]> reply);

    void operator(byte[] packet, Consumer<byte[]> reply);

    void event(String line);
  }

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long MIN_RECONNECT_DELAY_MS = 50;
  private static final long MAX_RECONNECT_DELAY_MS = 1_000;
  private static final long IDLE_TIMEOUT_S = 30;

  /**
   * Maximum number of packets that wait for a connection to be established; the oldest are dropped
   * first.
   */
  private static final int MAX_WAITING_PACKETS = 64;

  /**
   * Maximum number of connections from operators and unidentified peers. The number of members is
   * added to it, as all of them may reconnect at the same moment and are unidentified until they
   * have sent their greeting.
   */
  private static final int MAX_OTHER_CONNECTIONS = 16;

  private final EventLoop loop;
  private final String fleet;
  private final String self;
  private final Map<String, InetSocketAddress> addresses;
  private final Random random;
  private final Inbox inbox;
  private final FrameHandler.Counter counter = new FrameHandler.Counter();
  private final Map<String, Outgoing> outgoing = new HashMap<>();
  private final Map<String, Channel> incoming = new HashMap<>();

  /** Connections of operators and of peers that have not sent their greeting, oldest first. */
  private final Set<Channel> others = new LinkedHashSet<>();

  private Channel listener;
  private boolean isClosed;

  Peers(
      EventLoop loop,
      String fleet,
      String self,
      Map<String, InetSocketAddress> addresses,
      Random random,
      Inbox inbox) {
    this.loop = loop;
    this.fleet = fleet;
    this.self = self;
    this.addresses = Map.copyOf(addresses);
    this.random = random;
    this.inbox = inbox;
  }

  Traffic traffic() {
    return counter.traffic();
  }

  /** Starts to listen. Blocks, so it must not be called on the event loop. */
  InetSocketAddress listen(InetSocketAddress bindAddress) {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, FrameHandler.WRITE_BUFFER_LIMITS)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(bindAddress)
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IllegalStateException(
          "the fleet's address cannot be listened on: " + binding.cause().getMessage());
    }
    listener = binding.channel();
    return (InetSocketAddress) listener.localAddress();
  }

  private void accept(Channel channel) {
    others.add(channel);
    while (others.size() > MAX_OTHER_CONNECTIONS + addresses.size()) {
      Channel oldest = others.iterator().next();
      others.remove(oldest);
      oldest.close();
    }
    new Incoming(channel).addTo(channel);
  }

  @Override
  public void send(String member, byte[] packet) {
    if (isClosed) {
      return;
    }
    if (member.equals(self)) {
      loop.execute(() -> inbox.packet(self, packet, reply -> send(self, reply)));
      return;
    }
    InetSocketAddress address = addresses.get(member);
    if (address != null) {
      outgoing.computeIfAbsent(member, m -> new Outgoing(m, address)).send(packet);
    }
  }

  @Override
  public void probe(String member, Runnable refused) {
    InetSocketAddress address = addresses.get(member);
    if (address == null || isClosed) {
      return;
    }
    connect(address)
        .addListener(
            (ChannelFuture done) -> {
              if (done.isSuccess()) {
                done.channel().close();
              } else if (isRefusal(done.cause())) {
                refused.run();
              }
            });
  }

  /** Whether the remote system has refused the connection, as opposed to a timeout. */
  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException
        && cause.getMessage() != null
        && cause.getMessage().contains("refused");
  }

  private ChannelFuture connect(InetSocketAddress address) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, FrameHandler.WRITE_BUFFER_LIMITS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                // The handlers are added once the connection is established.
              }
            })
        .connect(address);
  }

  /** Closes the listener and all connections; to be called on the event loop. */
  void close() {
    isClosed = true;
    if (listener != null) {
      listener.close();
    }
    List<Channel> open = new ArrayList<>(others);
    open.addAll(incoming.values());
    outgoing.values().forEach(o -> open.add(o.channel));
    open.forEach(
        channel -> {
          if (channel != null) {
            channel.close();
          }
        });
  }

  /** A connection that a peer has opened. */
  private final class Incoming extends FrameHandler {
    private final Channel channel;
    private Greeting peer;

    Incoming(Channel channel) {
      super(counter);
      this.channel = channel;
    }

    @Override
    void handleFrame(byte[] packet) {
      if (peer == null) {
        handleGreeting(packet);
      } else if (peer.member().isEmpty()) {
        inbox.operator(packet, replyTo(channel));
      } else {
        inbox.packet(peer.member(), packet, replyTo(channel));
      }
    }

    private void handleGreeting(byte[] packet) {
      try {
        Greeting greeting = Greeting.read(packet);
        boolean known = greeting.member().isEmpty() || addresses.containsKey(greeting.member());
        if (!greeting.fleet().equals(fleet) || !known) {
          inbox.event(
              "stranger at="
                  + channel.remoteAddress()
                  + " fleet="
                  + greeting.fleet()
                  + " member="
                  + greeting.member());
          write(channel, new Greeting(fleet, self).bytes());
          channel.close();
          return;
        }
        peer = greeting;
        setMaxFrameBytes(
            channel, greeting.member().isEmpty() ? MAX_OPERATOR_CALL_BYTES : MAX_BYTES);
        write(channel, new Greeting(fleet, self).bytes());
        if (!greeting.member().isEmpty()) {
          others.remove(channel);
          Channel previous = incoming.put(greeting.member(), channel);
          if (previous != null) {
            previous.close();
          }
        }
      } catch (MalformedException e) {
        inbox.event("stranger at=" + channel.remoteAddress() + " why=\"" + e.getMessage() + "\"");
        channel.close();
      }
    }

    @Override
    void closed() {
      others.remove(channel);
      if (peer != null) {
        incoming.remove(peer.member(), channel);
      }
    }
  }

  /** The connection from this member to another; it is opened when there is something to send. */
  private final class Outgoing extends FrameHandler {
    private final String member;
    private final InetSocketAddress address;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private Channel channel;
    private boolean isConnecting;
    private boolean isGreeted;
    private long reconnectAtNanos = System.nanoTime();
    private long reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
    private long lastUsedNanos;

    Outgoing(String member, InetSocketAddress address) {
      super(counter);
      this.member = member;
      this.address = address;
    }

    void send(byte[] packet) {
      lastUsedNanos = System.nanoTime();
      if (isGreeted) {
        write(channel, packet);
        return;
      }
      if (!isConnecting && System.nanoTime() - reconnectAtNanos < 0) {
        return;
      }
      waiting.add(packet);
      if (waiting.size() > MAX_WAITING_PACKETS) {
        waiting.remove();
      }
      if (!isConnecting) {
        isConnecting = true;
        Peers.this
            .connect(address)
            .addListener(
                (ChannelFuture done) -> {
                  if (done.isSuccess()) {
                    connected(done.channel());
                  } else {
                    closed();
                  }
                });
      }
    }

    private void connected(Channel established) {
      channel = established;
      if (isClosed) {
        established.close();
        return;
      }
      addTo(established);
      write(established, new Greeting(fleet, self).bytes());
      // A path that loses packets may let the connection open and never deliver a greeting.
      loop.schedule(
          () -> {
            if (channel == established && !isGreeted) {
              established.close();
            }
          },
          CONNECT_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean isSharable() {
      // Used for one connection after another, never for two at a time.
      return true;
    }

    @Override
    void handleFrame(byte[] packet) {
      if (isGreeted) {
        inbox.packet(member, packet, replyTo(channel));
        return;
      }
      try {
        Greeting greeting = Greeting.read(packet);
        if (!greeting.fleet().equals(fleet) || !greeting.member().equals(member)) {
          inbox.event(
              "stranger at="
                  + Addresses.text(address)
                  + " expected="
                  + member
                  + " fleet="
                  + greeting.fleet()
                  + " member="
                  + greeting.member());
          channel.close();
          return;
        }
        isGreeted = true;
        setMaxFrameBytes(channel, MAX_BYTES);
        reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
        waiting.forEach(p -> write(channel, p));
        waiting.clear();
        closeWhenIdle(channel);
      } catch (MalformedException e) {
        inbox.event("stranger at=" + address + " why=\"" + e.getMessage() + "\"");
        channel.close();
      }
    }

    private void closeWhenIdle(Channel expected) {
      loop.schedule(
          () -> {
            if (channel != expected) {
              return;
            }
            if (System.nanoTime() - lastUsedNanos > TimeUnit.SECONDS.toNanos(IDLE_TIMEOUT_S)) {
              expected.close();
            } else {
              closeWhenIdle(expected);
            }
          },
          IDLE_TIMEOUT_S,
          TimeUnit.SECONDS);
    }

    @Override
    void closed() {
      isConnecting = false;
      isGreeted = false;
      channel = null;
      waiting.clear();
      long delayMs = (long) (reconnectDelayMs * (0.5 + random.nextDouble()));
      reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, 2 * reconnectDelayMs);
      reconnectAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
    }
  }
}
