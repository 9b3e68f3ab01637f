package hazelspoke.agreement.net;

import hazelspoke.agreement.member.Member;
import hazelspoke.agreement.member.WrongDataDirectoryException;
import hazelspoke.agreement.store.FileDisk;
import hazelspoke.net.EventLoops;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A gateway's membership of its fleet, with a thread, a listener and a folder of its own. */
public final class FleetNode implements AutoCloseable {
  /** What its thread is named after, where it has one of its own. */
  public static final String THREAD = "fleet";

  private static final String LOCK = "lock";
  private static final int MOST_LINES_A_SECOND = 10;

  // What the engine does is told by events; held, as loggers that nobody holds forget their levels.
  private static final Logger ENGINE = Logger.getLogger("io.microraft");

  static {
    ENGINE.setLevel(Level.SEVERE);
  }

  private final FleetSettings settings;
  private final Consumer<String> log;
  private final Runnable standing;

  /** Null where others use the loop too, who then end it. */
  private final EventLoopGroup group;

  private final EventLoop loop;
  private final FileChannel lock;
  private final Peers peers;
  private final OperatorCalls operators;
  private Member member;
  private Future<?> looking;
  private long toldIn;
  private int told;
  private InetSocketAddress address;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean joined;
  private volatile boolean hasValidLease;
  private volatile boolean isLeader;
  private volatile long index;

  private FleetNode(
      FleetSettings settings, EventLoop shared, Consumer<String> log, Runnable standing)
      throws IOException {
    this.settings = settings;
    this.log = log;
    this.standing = standing;
    lock = lock(settings.dataDirectory());
    group = shared != null ? null : EventLoops.daemon(THREAD);
    loop = shared != null ? shared : group.next();
    operators = new OperatorCalls(settings);
    peers =
        new Peers(
            loop,
            settings.member().fleet(),
            settings.member().self(),
            settings.addresses(),
            new SecureRandom(),
            new Mailbox());
  }

  /**
   * Begins to belong; the record is read in the background.
   *
   * @param log for lines to operators, from a thread of its own
   * @param standing is run, on that thread, whenever {@link #hasJoined} or {@link #hasValidLease}
   *     may have changed
   * @throws IllegalStateException if it cannot; the message is one line
   */
  public static FleetNode open(FleetSettings settings, Consumer<String> log, Runnable standing) {
    return open(settings, null, log, standing);
  }

  /**
   * The same on a loop that it shares with others and does not end, so that many fit into one
   * process; null for one of its own. Not to be called on that loop.
   */
  public static FleetNode open(
      FleetSettings settings, EventLoop shared, Consumer<String> log, Runnable standing) {
    FleetNode node;
    try {
      node = new FleetNode(settings, shared, log, standing);
    } catch (IOException e) {
      throw new IllegalStateException("the fleet's data folder: " + e.getMessage(), e);
    }
    try {
      node.address = node.peers.listen(settings.listen());
      node.loop.submit(node::begin).get();
    } catch (ExecutionException e) {
      node.close();
      throw new IllegalStateException("the fleet's data folder: " + e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      node.close();
      throw new IllegalStateException("interrupted", e);
    } catch (IllegalStateException e) {
      node.close();
      throw e;
    }
    return node;
  }

  /** Only one process uses a folder, so that a second life in it is the first one's end. */
  private static FileChannel lock(Path folder) throws IOException {
    Files.createDirectories(folder);
    FileChannel channel =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      if (channel.tryLock() != null) {
        return channel;
      }
    } catch (OverlappingFileLockException e) {
      // This process has it.
    }
    channel.close();
    throw new IOException(folder + " is used by another process");
  }

  private Void begin() throws IOException, WrongDataDirectoryException {
    Random random = new SecureRandom();
    Random own = new Random(random.nextLong());
    member =
        new Member(
            settings.member(),
            new FileDisk(settings.dataDirectory().resolve("record")),
            new EventLoopScheduler(loop),
            own,
            peers,
            new Member.Listener() {
              @Override
              public void event(String line) {
                tell(line);
              }

              @Override
              public void changed() {
                look();
              }
            });
    operators.member(member);
    long often = Math.max(1, settings.member().leaseNanos() / 50);
    looking = loop.scheduleAtFixedRate(this::look, often, often, TimeUnit.NANOSECONDS);
    return null;
  }

  private void look() {
    if (member == null) {
      return;
    }
    isLeader = member.isLeader();
    index = member.view().record().index();
    boolean nowJoined = joined || member.hasJoined();
    boolean nowHasValidLease = member.hasValidLease();
    if (nowJoined != joined || nowHasValidLease != hasValidLease) {
      joined = nowJoined;
      hasValidLease = nowHasValidLease;
      standing.run();
    }
  }

  /** Few lines a second, whatever peers send: whoever takes them may be serving requests. */
  private void tell(String line) {
    long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (second != toldIn) {
      toldIn = second;
      told = 0;
    }
    if (++told <= MOST_LINES_A_SECOND) {
      log.accept("fleet event=" + line);
    }
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Whether it has read the record once, as of a time after it began; any thread may ask. */
  public boolean hasJoined() {
    return joined;
  }

  /** Whether its session holds; any thread may ask. */
  public boolean hasValidLease() {
    return hasValidLease;
  }

  /** Whether it leads, as far as it knows; any thread may ask. */
  public boolean isLeader() {
    return isLeader;
  }

  /** Up to which entry it knows the record; any thread may ask. */
  public long index() {
    return index;
  }

  /** The bytes that came from and went to other members and operators; any thread may ask. */
  public Traffic traffic() {
    return peers.traffic();
  }

  /** Says that it goes for good, and ends. Returns then, or when the time is over. */
  public void leave(long mostMs) {
    CompletableFuture<Void> gone = new CompletableFuture<>();
    loop.execute(
        () ->
            member
                .leave(TimeUnit.MILLISECONDS.toNanos(mostMs))
                .whenComplete((done, failure) -> gone.complete(null)));
    try {
      gone.get(mostMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      log.accept("fleet event=left_unsaid");
    }
    close();
  }

  /** Ends at once, as a process that is killed. */
  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    Future<?> ended =
        loop.submit(
            () -> {
              peers.close();
              if (member != null) {
                looking.cancel(false);
                member.stop();
              }
            });
    if (group == null) {
      ended.awaitUninterruptibly();
    } else {
      group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
    try {
      lock.close();
    } catch (IOException e) {
      log.accept("fleet event=lock why=\"" + e.getMessage() + "\"");
    }
  }

  private final class Mailbox implements Peers.Inbox {
    @Override
    public void packet(String from, byte[] packet, Consumer<byte[]> back) {
      if (member != null) {
        member.receive(from, packet, back);
      }
    }

    @Override
    public void operator(byte[] packet, Consumer<byte[]> back) {
      operators.call(packet, back);
    }

    @Override
    public void event(String line) {
      tell(line);
    }
  }
}
