package hazelspoke.emulator.net;

import hazelspoke.emulator.model.LinkState;
import hazelspoke.emulator.model.LinkState.AcceptMode;
import hazelspoke.emulator.model.LinkState.Impairment;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The link from one process to another: a relay on loopback that forwards bytes, ends of stream and
 * resets, separately for each direction, as {@link LinkState} allows. Blocked data is queued in
 * order; a blocked direction delivers no end of stream and no reset either until it is unblocked.
 *
 * <p>Limitation: the operating system accepts a connection to the relay at once, so that a delay
 * applies to bytes and not to the establishment of a connection.
 */
public final class Link {
  private static final int BACKLOG = 512;
  private static final int MAX_BIND_ATTEMPTS = 50;
  private static final double BIND_RETRY_MS = 5;

  /** Bytes queued in one direction before reading from the sender stops, like a receive window. */
  private static final int WINDOW_BYTES = 65_536;

  private final EmulatorLoop emulatorLoop;
  private final InetSocketAddress address;
  private final InetSocketAddress target;
  private final Map<SocketAddress, RelayedConnection> connectionsByAddress;
  private final String name;
  private final LinkState state = new LinkState();
  private final Set<RelayedConnection> connections = new LinkedHashSet<>();
  private AcceptMode acceptMode = AcceptMode.REFUSING;
  private Channel listener;
  private BlackHole blackHole;
  private int modeChanges;
  private boolean closed;

  /**
   * @param address the address that the first process connects to
   * @param target the address that the second process listens on
   * @param connectionsByAddress each relayed connection by the address under which the second
   *     process sees it; shared only between links to the same process
   */
  Link(
      EmulatorLoop emulatorLoop,
      InetSocketAddress address,
      InetSocketAddress target,
      Map<SocketAddress, RelayedConnection> connectionsByAddress,
      String name) {
    this.emulatorLoop = emulatorLoop;
    this.address = address;
    this.target = target;
    this.connectionsByAddress = connectionsByAddress;
    this.name = name;
  }

  /** The address that the first process connects to. */
  public InetSocketAddress address() {
    return address;
  }

  void setHostAcceptMode(AcceptMode now) {
    state.setHostAcceptMode(now);
    apply();
  }

  /** Applies a fault. */
  public void begin(Impairment impairment) {
    state.add(impairment);
    apply();
  }

  /** Removes a fault. */
  public void end(Impairment impairment) {
    state.remove(impairment);
    apply();
  }

  /** Resets both ends of all open connections. */
  public void reset() {
    List.copyOf(connections).forEach(RelayedConnection::reset);
  }

  /**
   * Resets the host's end of all open connections without notifying the caller.
   *
   * @return resets the caller's ends when run
   */
  public Runnable resetHostEnds() {
    List<RelayedConnection> now = List.copyOf(connections);
    now.forEach(RelayedConnection::resetHostSide);
    return () -> now.forEach(RelayedConnection::reset);
  }

  void close() {
    closed = true;
    apply();
    reset();
  }

  private void apply() {
    AcceptMode mode = closed ? AcceptMode.REFUSING : state.acceptMode();
    if (mode != acceptMode) {
      acceptMode = mode;
      closeListener();
      open(mode, ++modeChanges, MAX_BIND_ATTEMPTS);
    }
    List.copyOf(connections).forEach(RelayedConnection::transfer);
  }

  private void closeListener() {
    if (listener != null) {
      listener.close();
      listener = null;
    }
    if (blackHole != null) {
      try {
        blackHole.close();
      } catch (IOException e) {
        emulatorLoop.fail("the link to " + name + " cannot close its unresponsive listener", e);
      }
      blackHole = null;
    }
  }

  /**
   * The operating system may keep the address of a listener that was just closed; the bind is then
   * retried.
   */
  private void open(AcceptMode mode, int modeChange, int attemptsLeft) {
    if (modeChange != modeChanges || mode == AcceptMode.REFUSING) {
      return;
    }
    if (mode == AcceptMode.SILENT) {
      try {
        blackHole = new BlackHole(address);
      } catch (IOException e) {
        retryOpen(mode, modeChange, attemptsLeft, e);
      }
      return;
    }
    Channel opened =
        new ServerBootstrap()
            .group(emulatorLoop.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel callerChannel) {
                    new RelayedConnection(callerChannel).begin();
                  }
                })
            .bind(address)
            .addListener(
                done -> {
                  if (!done.isSuccess()) {
                    retryOpen(mode, modeChange, attemptsLeft, done.cause());
                  }
                })
            .channel();
    listener = opened;
  }

  private void retryOpen(AcceptMode mode, int modeChange, int attemptsLeft, Throwable cause) {
    if (attemptsLeft == 0) {
      emulatorLoop.fail("the link to " + name + " cannot listen at " + address, cause);
    } else {
      emulatorLoop.at(
          emulatorLoop.now() + BIND_RETRY_MS, () -> open(mode, modeChange, attemptsLeft - 1));
    }
  }

  /** One connection through the relay. */
  final class RelayedConnection {
    private final Channel callerChannel;
    private Channel hostChannel;
    private SocketAddress addressSeenByHost;
    private final Direction forward;
    private final Direction reverse;
    private boolean hostSideReset;
    private boolean finished;

    private RelayedConnection(Channel callerChannel) {
      this.callerChannel = callerChannel;
      forward = new Direction(true);
      reverse = new Direction(false);
    }

    /** When the caller sent the last bytes that were forwarded. */
    double lastSentAt() {
      return forward.lastSentAt;
    }

    private void begin() {
      connections.add(this);
      callerChannel.pipeline().addLast(new EndHandler(forward));
      hostChannel =
          new Bootstrap()
              .group(emulatorLoop.loop())
              .channel(NioSocketChannel.class)
              .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
              .option(ChannelOption.AUTO_READ, false)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline().addLast(new EndHandler(reverse));
                    }
                  })
              .connect(target)
              .addListener(
                  done -> {
                    if (done.isSuccess() && !finished) {
                      addressSeenByHost = hostChannel.localAddress();
                      connectionsByAddress.put(addressSeenByHost, this);
                      transfer();
                    } else {
                      reset();
                    }
                  })
              .channel();
    }

    private Channel sinkOf(Direction direction) {
      return direction == forward ? hostChannel : callerChannel;
    }

    private Channel sourceOf(Direction direction) {
      return direction == forward ? callerChannel : hostChannel;
    }

    private void transfer() {
      forward.transfer();
      reverse.transfer();
      if (forward.ended && reverse.ended) {
        finish(Channel::close);
      }
    }

    private void resetHostSide() {
      hostSideReset = true;
      forward.drop();
      reverse.drop();
      Wire.reset(hostChannel);
      callerChannel.config().setAutoRead(false);
    }

    private void reset() {
      finish(Wire::reset);
    }

    private void finish(Consumer<Channel> how) {
      if (finished) {
        return;
      }
      finished = true;
      connections.remove(this);
      if (addressSeenByHost != null) {
        connectionsByAddress.remove(addressSeenByHost, this);
      }
      forward.drop();
      reverse.drop();
      how.accept(callerChannel);
      how.accept(hostChannel);
    }

    /** One direction of a connection. */
    private final class Direction {
      private final boolean isForward;
      private final Deque<Item> waiting = new ArrayDeque<>();
      private int waitingBytes;
      private double lastSentAt = emulatorLoop.now();
      private boolean ended;
      private boolean timerPending;

      /** When reading stopped: bytes read next may have been sent at any time since. */
      private double unreadSince = emulatorLoop.now();

      /**
       * Whether reading is on; {@code caughtUp} says whether the backlog from before has been read.
       */
      private boolean reading;

      private boolean caughtUp;

      Direction(boolean isForward) {
        this.isForward = isForward;
      }

      void enqueue(ByteBuf bytes, ItemKind kind) {
        if (finished || hostSideReset) {
          bytes.release();
          return;
        }
        waiting.add(new Item(bytes, kind, sentAt(), emulatorLoop.now() + state.delayMs()));
        waitingBytes += bytes.readableBytes();
        RelayedConnection.this.transfer();
      }

      private double sentAt() {
        return caughtUp
            ? emulatorLoop.earliestSendTime()
            : Math.min(unreadSince, emulatorLoop.earliestSendTime());
      }

      void readCompleted() {
        caughtUp = reading;
      }

      private void setReading(boolean on) {
        if (reading && !on) {
          unreadSince = emulatorLoop.now();
          caughtUp = false;
        }
        reading = on;
        sourceOf(this).config().setAutoRead(on);
      }

      void drop() {
        waiting.forEach(item -> item.bytes.release());
        waiting.clear();
        waitingBytes = 0;
      }

      /** Forwards what is due and resumes reading if there is room for more. */
      void transfer() {
        if (finished || hostSideReset || !sinkOf(this).isActive()) {
          return;
        }
        boolean isBlocked = state.isBlocked(isForward);
        while (!isBlocked
            && !ended
            && !waiting.isEmpty()
            && waiting.peek().dueAt <= emulatorLoop.now()) {
          deliver(waiting.poll());
          if (finished) {
            return;
          }
        }
        if (!isBlocked && !waiting.isEmpty() && !timerPending) {
          timerPending = true;
          emulatorLoop.at(
              waiting.peek().dueAt,
              () -> {
                timerPending = false;
                RelayedConnection.this.transfer();
              });
        }
        boolean hasRoom = waitingBytes < WINDOW_BYTES && sinkOf(this).isWritable();
        setReading(!isBlocked && hasRoom && !ended);
      }

      private void deliver(Item item) {
        waitingBytes -= item.bytes.readableBytes();
        switch (item.kind) {
          case BYTES -> {
            // Not updated by an end of stream, which may be forwarded before the host reads these
            // bytes.
            lastSentAt = item.sentAt;
            sinkOf(this).writeAndFlush(item.bytes);
          }
          case END -> {
            item.bytes.release();
            ended = true;
            ((DuplexChannel) sinkOf(this)).shutdownOutput();
          }
          case RESET -> {
            item.bytes.release();
            reset();
          }
        }
      }
    }

    /** Reads from one end of the relay. */
    private final class EndHandler extends ChannelInboundHandlerAdapter {
      private final Direction direction;
      private boolean endReported;

      EndHandler(Direction direction) {
        this.direction = direction;
      }

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        direction.enqueue((ByteBuf) message, ItemKind.BYTES);
      }

      @Override
      public void channelReadComplete(ChannelHandlerContext ctx) {
        direction.readCompleted();
      }

      @Override
      public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
          report(ItemKind.END);
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        report(ItemKind.RESET);
      }

      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        report(ItemKind.RESET);
      }

      @Override
      public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        transfer();
      }

      private void report(ItemKind kind) {
        if (!endReported || kind == ItemKind.RESET) {
          endReported = true;
          direction.enqueue(Unpooled.EMPTY_BUFFER, kind);
        }
      }
    }
  }

  private enum ItemKind {
    BYTES,
    END,
    RESET
  }

  /** Data, an end of stream or a reset in transit. */
  private record Item(ByteBuf bytes, ItemKind kind, double sentAt, double dueAt) {}
}
