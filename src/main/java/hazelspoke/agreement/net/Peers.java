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
 * The connections to the other members. Each member opens its own to whom it has something to send,
 * and is answered on it; what cannot be sent now is dropped. All on the loop.
 */
final class Peers implements Transport {
  /** What comes from elsewhere. */
  interface Inbox {
    void packet(String from, byte[] packet, Consumer<byte[]> back);

    void operator(byte[] packet, Consumer<byte[]> back);

    void event(String line);
  }

  private static final int CONNECT_MS = 1_000;
  private static final long FIRST_PAUSE_MS = 50;
  private static final long LONGEST_PAUSE_MS = 1_000;
  private static final long UNUSED_CLOSED_AFTER_S = 30;

  /** Packets that wait for a connection to come up; older ones are dropped first. */
  private static final int MOST_WAITING = 64;

  /**
   * Connections besides one from each member, for operators and strangers; as many more as there
   * are members, since all of them may come anew in one moment and are strangers until they greet.
   */
  private static final int MOST_OTHERS = 16;

  private final EventLoop loop;
  private final String fleet;
  private final String self;
  private final Map<String, InetSocketAddress> addresses;
  private final Random random;
  private final Inbox inbox;
  private final FrameHandler.Counter counter = new FrameHandler.Counter();
  private final Map<String, Outgoing> outgoing = new HashMap<>();
  private final Map<String, Channel> incoming = new HashMap<>();

  /** Those that have not said who they are, and operators; the longest first. */
  private final Set<Channel> others = new LinkedHashSet<>();

  private Channel listener;
  private boolean closed;

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

  /** Begins to listen; not to be called on the loop. */
  InetSocketAddress listen(InetSocketAddress at) {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, FrameHandler.WAITING)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(at)
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
    while (others.size() > MOST_OTHERS + addresses.size()) {
      Channel longest = others.iterator().next();
      others.remove(longest);
      longest.close();
    }
    new Incoming(channel).joins(channel);
  }

  @Override
  public void send(String member, byte[] packet) {
    if (closed) {
      return;
    }
    if (member.equals(self)) {
      loop.execute(() -> inbox.packet(self, packet, back -> send(self, back)));
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
    if (address == null || closed) {
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

  /** Whether the other machine's system has said that nobody listens, and not that it took long. */
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
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, FrameHandler.WAITING)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                // Joined once it is up.
              }
            })
        .connect(address);
  }

  /** Ends all; on the loop. */
  void close() {
    closed = true;
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

  /** A connection that another opened. */
  private final class Incoming extends FrameHandler {
    private final Channel channel;
    private Greeting who;

    Incoming(Channel channel) {
      super(counter);
      this.channel = channel;
    }

    @Override
    void frame(byte[] packet) {
      if (who == null) {
        hello(packet);
      } else if (who.member().isEmpty()) {
        inbox.operator(packet, back(channel));
      } else {
        inbox.packet(who.member(), packet, back(channel));
      }
    }

    private void hello(byte[] packet) {
      try {
        Greeting said = Greeting.read(packet);
        boolean known = said.member().isEmpty() || addresses.containsKey(said.member());
        if (!said.fleet().equals(fleet) || !known) {
          inbox.event(
              "stranger at="
                  + channel.remoteAddress()
                  + " fleet="
                  + said.fleet()
                  + " member="
                  + said.member());
          write(channel, new Greeting(fleet, self).bytes());
          channel.close();
          return;
        }
        who = said;
        allow(channel, said.member().isEmpty() ? LONGEST_CALL_BYTES : LONGEST_BYTES);
        write(channel, new Greeting(fleet, self).bytes());
        if (!said.member().isEmpty()) {
          others.remove(channel);
          Channel before = incoming.put(said.member(), channel);
          if (before != null) {
            before.close();
          }
        }
      } catch (MalformedException e) {
        inbox.event("stranger at=" + channel.remoteAddress() + " why=\"" + e.getMessage() + "\"");
        channel.close();
      }
    }

    @Override
    void gone() {
      others.remove(channel);
      if (who != null) {
        incoming.remove(who.member(), channel);
      }
    }
  }

  /** The connection that this member has opened to another, or opens when there is something. */
  private final class Outgoing extends FrameHandler {
    private final String member;
    private final InetSocketAddress address;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private boolean greeted;
    private long notBefore = System.nanoTime();
    private long pauseMs = FIRST_PAUSE_MS;
    private long usedAt;

    Outgoing(String member, InetSocketAddress address) {
      super(counter);
      this.member = member;
      this.address = address;
    }

    void send(byte[] packet) {
      usedAt = System.nanoTime();
      if (greeted) {
        write(channel, packet);
        return;
      }
      if (!connecting && System.nanoTime() - notBefore < 0) {
        return;
      }
      waiting.add(packet);
      if (waiting.size() > MOST_WAITING) {
        waiting.remove();
      }
      if (!connecting) {
        connecting = true;
        Peers.this
            .connect(address)
            .addListener(
                (ChannelFuture done) -> {
                  if (done.isSuccess()) {
                    up(done.channel());
                  } else {
                    gone();
                  }
                });
      }
    }

    private void up(Channel now) {
      channel = now;
      if (closed) {
        now.close();
        return;
      }
      joins(now);
      write(now, new Greeting(fleet, self).bytes());
      // A way that is silent takes the connection and never the greeting.
      loop.schedule(
          () -> {
            if (channel == now && !greeted) {
              now.close();
            }
          },
          CONNECT_MS,
          TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean isSharable() {
      // One connection after the other.
      return true;
    }

    @Override
    void frame(byte[] packet) {
      if (greeted) {
        inbox.packet(member, packet, back(channel));
        return;
      }
      try {
        Greeting said = Greeting.read(packet);
        if (!said.fleet().equals(fleet) || !said.member().equals(member)) {
          inbox.event(
              "stranger at="
                  + Addresses.text(address)
                  + " expected="
                  + member
                  + " fleet="
                  + said.fleet()
                  + " member="
                  + said.member());
          channel.close();
          return;
        }
        greeted = true;
        allow(channel, LONGEST_BYTES);
        pauseMs = FIRST_PAUSE_MS;
        waiting.forEach(p -> write(channel, p));
        waiting.clear();
        closeUnused(channel);
      } catch (MalformedException e) {
        inbox.event("stranger at=" + address + " why=\"" + e.getMessage() + "\"");
        channel.close();
      }
    }

    private void closeUnused(Channel its) {
      loop.schedule(
          () -> {
            if (channel != its) {
              return;
            }
            if (System.nanoTime() - usedAt > TimeUnit.SECONDS.toNanos(UNUSED_CLOSED_AFTER_S)) {
              its.close();
            } else {
              closeUnused(its);
            }
          },
          UNUSED_CLOSED_AFTER_S,
          TimeUnit.SECONDS);
    }

    @Override
    void gone() {
      connecting = false;
      greeted = false;
      channel = null;
      waiting.clear();
      long pause = (long) (pauseMs * (0.5 + random.nextDouble()));
      pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
      notBefore = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pause);
    }
  }
}
