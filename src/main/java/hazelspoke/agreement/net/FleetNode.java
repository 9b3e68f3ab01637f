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

/** Runs a gateway's member of the fleet, with its own event loop, listener and data directory. */
public final class FleetNode implements AutoCloseable {
  /** Prefix of the name of the event loop's thread, if the node has its own. */
  public static final String THREAD = "fleet";

  private static final String LOCK_FILE = "lock";
  private static final int MAX_LINES_PER_SECOND = 10;

  // Events report what the engine does. Held in a field, as a logger that is not referenced may be
  // collected and lose its level.
  private static final Logger ENGINE = Logger.getLogger("io.microraft");

  static {
    ENGINE.setLevel(Level.SEVERE);
  }

  private final FleetSettings settings;
  private final Consumer<String> log;
  private final Runnable onStatusChange;

  /** Null if the event loop is shared; its owner then shuts it down. */
  private final EventLoopGroup group;

  private final EventLoop loop;
  private final FileChannel lock;
  private final Peers peers;
  private final OperatorCalls operators;
  private Member member;
  private Future<?> polling;
  private long lineCountSecond;
  private int lineCount;
  private InetSocketAddress address;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean joined;
  private volatile boolean hasValidLease;
  private volatile boolean isLeader;
  private volatile long index;

  private FleetNode(
      FleetSettings settings, EventLoop shared, Consumer<String> log, Runnable onStatusChange)
      throws IOException {
    this.settings = settings;
    this.log = log;
    this.onStatusChange = onStatusChange;
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
            new MemberInbox());
  }

  /**
   * Opens a node; it joins the fleet and reads the record in the background.
   *
   * @param log receives lines for operators, on the node's event loop
   * @param onStatusChange is run, on the event loop, whenever {@link #hasJoined} or {@link
   *     #hasValidLease} may have changed
   * @throws IllegalStateException if the node cannot be opened; the message is one line
   */
  public static FleetNode open(
      FleetSettings settings, Consumer<String> log, Runnable onStatusChange) {
    return open(settings, null, log, onStatusChange);
  }

  /**
   * Opens a node like {@link #open(FleetSettings, Consumer, Runnable)}. Many nodes can share an
   * event loop in one process; a shared loop is not shut down by the node.
   *
   * @param shared the event loop to run on, which must not be the caller's; null for one of its own
   */
  public static FleetNode open(
      FleetSettings settings, EventLoop shared, Consumer<String> log, Runnable onStatusChange) {
    FleetNode node;
    try {
      node = new FleetNode(settings, shared, log, onStatusChange);
    } catch (IOException e) {
      throw new IllegalStateException("the fleet's data directory: " + e.getMessage(), e);
    }
    try {
      node.address = node.peers.listen(settings.listen());
      node.loop.submit(node::start).get();
    } catch (ExecutionException e) {
      node.close();
      throw new IllegalStateException(
          "the fleet's data directory: " + e.getCause().getMessage(), e);
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

  /**
   * Locks the data directory, so that only one process uses it and the start of the next one proves
   * that the previous one has stopped.
   */
  private static FileChannel lock(Path directory) throws IOException {
    Files.createDirectories(directory);
    FileChannel channel =
        FileChannel.open(
            directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      if (channel.tryLock() != null) {
        return channel;
      }
    } catch (OverlappingFileLockException e) {
      // Another channel of this process holds the lock.
    }
    channel.close();
    throw new IOException(directory + " is used by another process");
  }

  private Void start() throws IOException, WrongDataDirectoryException {
    Random random = new SecureRandom();
    Random memberRandom = new Random(random.nextLong());
    member =
        new Member(
            settings.member(),
            new FileDisk(settings.dataDirectory().resolve("record")),
            new EventLoopScheduler(loop),
            memberRandom,
            peers,
            new Member.Listener() {
              @Override
              public void event(String line) {
                logEvent(line);
              }

              @Override
              public void changed() {
                updateStatus();
              }
            });
    operators.member(member);
    long intervalNanos = Math.max(1, settings.member().leaseNanos() / 50);
    polling =
        loop.scheduleAtFixedRate(
            this::updateStatus, intervalNanos, intervalNanos, TimeUnit.NANOSECONDS);
    return null;
  }

  private void updateStatus() {
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
      onStatusChange.run();
    }
  }

  /**
   * Logs an event, up to a maximum number of lines per second, whatever peers send: the thread that
   * writes them may also serve requests.
   */
  private void logEvent(String line) {
    long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (second != lineCountSecond) {
      lineCountSecond = second;
      lineCount = 0;
    }
    if (++lineCount <= MAX_LINES_PER_SECOND) {
      log.accept("fleet event=" + line);
    }
  }

  /** The address that the node listens on. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Whether the node has read a state of the record that is no older than its own start; callable
   * from any thread.
   */
  public boolean hasJoined() {
    return joined;
  }

  /** Whether its session has a valid lease; callable from any thread. */
  public boolean hasValidLease() {
    return hasValidLease;
  }

  /** Whether it is the leader, as far as it knows; callable from any thread. */
  public boolean isLeader() {
    return isLeader;
  }

  /** The index of the last entry of the record that it knows; callable from any thread. */
  public long index() {
    return index;
  }

  /** The bytes exchanged with other members and operators; callable from any thread. */
  public Traffic traffic() {
    return peers.traffic();
  }

  /**
   * Records that the member leaves the fleet, and closes the node. Blocks until then, or until the
   * time is over.
   */
  public void leave(long maxMs) {
    CompletableFuture<Void> left = new CompletableFuture<>();
    loop.execute(
        () ->
            member
                .leave(TimeUnit.MILLISECONDS.toNanos(maxMs))
                .whenComplete((done, failure) -> left.complete(null)));
    try {
      left.get(maxMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      log.accept("fleet event=left_unsaid");
    }
    close();
  }

  /** Stops at once without leaving the fleet, like a process that is killed. */
  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    Future<?> stopped =
        loop.submit(
            () -> {
              peers.close();
              if (member != null) {
                polling.cancel(false);
                member.stop();
              }
            });
    if (group == null) {
      stopped.awaitUninterruptibly();
    } else {
      group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
    try {
      lock.close();
    } catch (IOException e) {
      log.accept("fleet event=lock why=\"" + e.getMessage() + "\"");
    }
  }

  private final class MemberInbox implements Peers.Inbox {
    @Override
    public void packet(String from, byte[] packet, Consumer<byte[]> reply) {
      if (member != null) {
        member.receive(from, packet, reply);
      }
    }

    @Override
    public void operator(byte[] packet, Consumer<byte[]> reply) {
      operators.call(packet, reply);
    }

    @Override
    public void event(String line) {
      logEvent(line);
    }
  }
}
