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
 * The way from one process to another: a relay on loopback that passes on bytes, ends and resets,
 * each direction by itself, or not, as {@link LinkState} has it. What is held up waits, in order;
 * of a way that says nothing no end and no reset is heard either, until it is well again.
 *
 * <p>What a relay cannot do: the system at its address takes a connection at once, so that a slow
 * way delays bytes and not the coming up of a connection.
 */
public final class Link {
  private static final int BACKLOG = 512;
  private static final int TRIES = 50;
  private static final double AGAIN_MS = 5;

  /** What may wait on a way before its sender is not read from any more, as a window would. */
  private static final int WINDOW_BYTES = 65_536;

  private final EmulatorLoop stage;
  private final InetSocketAddress address;
  private final InetSocketAddress target;
  private final Map<SocketAddress, Passage> registry;
  private final String name;
  private final LinkState state = new LinkState();
  private final Set<Passage> passages = new LinkedHashSet<>();
  private AcceptMode door = AcceptMode.REFUSING;
  private Channel listener;
  private BlackHole blackHole;
  private int doors;
  private boolean closed;

  /**
   * @param address where the first process calls
   * @param target where the second listens
   * @param registry takes in each connection by the address under which the second sees it; shared
   *     with other ways to the same process only
   */
  Link(
      EmulatorLoop stage,
      InetSocketAddress address,
      InetSocketAddress target,
      Map<SocketAddress, Passage> registry,
      String name) {
    this.stage = stage;
    this.address = address;
    this.target = target;
    this.registry = registry;
    this.name = name;
  }

  /** Where the first process calls. */
  public InetSocketAddress address() {
    return address;
  }

  void setHostAcceptMode(AcceptMode now) {
    state.setHostAcceptMode(now);
    apply();
  }

  /** A fault begins. */
  public void begin(Impairment trouble) {
    state.add(trouble);
    apply();
  }

  /** A fault is over. */
  public void end(Impairment trouble) {
    state.remove(trouble);
    apply();
  }

  /** What is open is reset at both ends, now. */
  public void reset() {
    List.copyOf(passages).forEach(Passage::reset);
  }

  /**
   * The host's ends of what is open are reset, and the caller hears nothing of it.
   *
   * @return to be run when its caller is to hear
   */
  public Runnable halfOpen() {
    List<Passage> now = List.copyOf(passages);
    now.forEach(Passage::forgetHost);
    return () -> now.forEach(Passage::reset);
  }

  void close() {
    closed = true;
    apply();
    reset();
  }

  private void apply() {
    AcceptMode wanted = closed ? AcceptMode.REFUSING : state.acceptMode();
    if (wanted != door) {
      door = wanted;
      shut();
      open(wanted, ++doors, TRIES);
    }
    List.copyOf(passages).forEach(Passage::pump);
  }

  private void shut() {
    if (listener != null) {
      listener.close();
      listener = null;
    }
    if (blackHole != null) {
      try {
        blackHole.close();
      } catch (IOException e) {
        stage.fail("the way to " + name + " cannot open again", e);
      }
      blackHole = null;
    }
  }

  /** The system may hold the address of a listener that was just closed: then it is tried again. */
  private void open(AcceptMode wanted, int turn, int tries) {
    if (turn != doors || wanted == AcceptMode.REFUSING) {
      return;
    }
    if (wanted == AcceptMode.SILENT) {
      try {
        blackHole = new BlackHole(address);
      } catch (IOException e) {
        again(wanted, turn, tries, e);
      }
      return;
    }
    Channel opened =
        new ServerBootstrap()
            .group(stage.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel near) {
                    new Passage(near).begin();
                  }
                })
            .bind(address)
            .addListener(
                done -> {
                  if (!done.isSuccess()) {
                    again(wanted, turn, tries, done.cause());
                  }
                })
            .channel();
    listener = opened;
  }

  private void again(AcceptMode wanted, int turn, int tries, Throwable cause) {
    if (tries == 0) {
      stage.fail("the way to " + name + " cannot be opened at " + address, cause);
    } else {
      stage.at(stage.now() + AGAIN_MS, () -> open(wanted, turn, tries - 1));
    }
  }

  /** One connection through the relay. */
  final class Passage {
    private final Channel near;
    private Channel far;
    private SocketAddress seenAs;
    private final Lane there;
    private final Lane back;
    private boolean hostForgotten;
    private boolean over;

    private Passage(Channel near) {
      this.near = near;
      there = new Lane(true);
      back = new Lane(false);
    }

    /** When its caller sent the last that was passed on. */
    double lastSentAt() {
      return there.lastSentAt;
    }

    private void begin() {
      passages.add(this);
      near.pipeline().addLast(new End(there));
      far =
          new Bootstrap()
              .group(stage.loop())
              .channel(NioSocketChannel.class)
              .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
              .option(ChannelOption.AUTO_READ, false)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline().addLast(new End(back));
                    }
                  })
              .connect(target)
              .addListener(
                  done -> {
                    if (done.isSuccess() && !over) {
                      seenAs = far.localAddress();
                      registry.put(seenAs, this);
                      pump();
                    } else {
                      reset();
                    }
                  })
              .channel();
    }

    private Channel sinkOf(Lane lane) {
      return lane == there ? far : near;
    }

    private Channel sourceOf(Lane lane) {
      return lane == there ? near : far;
    }

    private void pump() {
      there.pump();
      back.pump();
      if (there.ended && back.ended) {
        finish(Channel::close);
      }
    }

    private void forgetHost() {
      hostForgotten = true;
      there.drop();
      back.drop();
      Wire.reset(far);
      near.config().setAutoRead(false);
    }

    private void reset() {
      finish(Wire::reset);
    }

    private void finish(Consumer<Channel> how) {
      if (over) {
        return;
      }
      over = true;
      passages.remove(this);
      if (seenAs != null) {
        registry.remove(seenAs, this);
      }
      there.drop();
      back.drop();
      how.accept(near);
      how.accept(far);
    }

    /** One direction. */
    private final class Lane {
      private final boolean isThere;
      private final Deque<Item> waiting = new ArrayDeque<>();
      private int waitingBytes;
      private double lastSentAt = stage.now();
      private boolean ended;
      private boolean timed;

      /** Since when nothing is read: what is read next may have been sent at any moment since. */
      private double unreadSince = stage.now();

      /** Whether this reads, and has read all that had come before it did. */
      private boolean reading;

      private boolean caughtUp;

      Lane(boolean isThere) {
        this.isThere = isThere;
      }

      void offer(ByteBuf bytes, Mark mark) {
        if (over || hostForgotten) {
          bytes.release();
          return;
        }
        waiting.add(new Item(bytes, mark, sentAt(), stage.now() + state.delayMs()));
        waitingBytes += bytes.readableBytes();
        Passage.this.pump();
      }

      private double sentAt() {
        return caughtUp
            ? stage.earliestSendTime()
            : Math.min(unreadSince, stage.earliestSendTime());
      }

      void readAll() {
        caughtUp = reading;
      }

      private void read(boolean on) {
        if (reading && !on) {
          unreadSince = stage.now();
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

      /** Passes on what is due, and reads on where there is room for more. */
      void pump() {
        if (over || hostForgotten || !sinkOf(this).isActive()) {
          return;
        }
        boolean held = state.isBlocked(isThere);
        while (!held && !ended && !waiting.isEmpty() && waiting.peek().dueAt <= stage.now()) {
          pass(waiting.poll());
          if (over) {
            return;
          }
        }
        if (!held && !waiting.isEmpty() && !timed) {
          timed = true;
          stage.at(
              waiting.peek().dueAt,
              () -> {
                timed = false;
                Passage.this.pump();
              });
        }
        boolean room = waitingBytes < WINDOW_BYTES && sinkOf(this).isWritable();
        read(!held && room && !ended);
      }

      private void pass(Item item) {
        waitingBytes -= item.bytes.readableBytes();
        switch (item.mark) {
          case BYTES -> {
            // Not of an end behind it, which may pass before anybody reads this.
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

    /** What is read at one end of the relay. */
    private final class End extends ChannelInboundHandlerAdapter {
      private final Lane lane;
      private boolean told;

      End(Lane lane) {
        this.lane = lane;
      }

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        lane.offer((ByteBuf) message, Mark.BYTES);
      }

      @Override
      public void channelReadComplete(ChannelHandlerContext ctx) {
        lane.readAll();
      }

      @Override
      public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
          tell(Mark.END);
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        tell(Mark.RESET);
      }

      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        tell(Mark.RESET);
      }

      @Override
      public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        pump();
      }

      private void tell(Mark mark) {
        if (!told || mark == Mark.RESET) {
          told = true;
          lane.offer(Unpooled.EMPTY_BUFFER, mark);
        }
      }
    }
  }

  private enum Mark {
    BYTES,
    END,
    RESET
  }

  /** Something on its way. */
  private record Item(ByteBuf bytes, Mark mark, double sentAt, double dueAt) {}
}
