package hazelspoke.bench.scale;

import hazelspoke.agreement.net.FleetNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Non-voting members without a gateway, sharing a few event loops of this process. */
final class NonVoterFleet implements AutoCloseable {
  private static final String THREAD_PREFIX = "hollow";
  private static final int EVENT_LOOPS = 2;

  private final FleetLayout layout;
  private final List<String> names;
  private final Map<String, InetSocketAddress> addresses;
  private final Path folder;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          EVENT_LOOPS, new DefaultThreadFactory(THREAD_PREFIX, true), NioIoHandler.newFactory());
  private final List<FleetNode> nodes = new ArrayList<>();

  NonVoterFleet(FleetLayout layout, Path folder) {
    this.layout = layout;
    this.folder = folder;
    names = layout.names();
    addresses = layout.addresses();
  }

  /** Starts every member from the given number on, without pausing between them. */
  void open(int first) {
    for (int member = first; member < layout.members(); member++) {
      EventLoop loop = group.next();
      nodes.add(
          FleetNode.open(
              layout.settings(member, names, addresses, folder.resolve(FleetLayout.name(member))),
              loop,
              line -> {},
              () -> {}));
    }
  }

  /** Closes the last {@code count} members at once, as if their processes had ended. */
  void closeLast(int count) {
    for (int i = 0; i < count; i++) {
      nodes.remove(nodes.size() - 1).close();
    }
  }

  int size() {
    return nodes.size();
  }

  List<FleetNode> nodes() {
    return List.copyOf(nodes);
  }

  long cpuNanos() {
    return Voter.cpuNanos(List.of(THREAD_PREFIX));
  }

  long receivedBytes() {
    return nodes.stream().mapToLong(n -> n.traffic().receivedBytes()).sum();
  }

  long sentBytes() {
    return nodes.stream().mapToLong(n -> n.traffic().sentBytes()).sum();
  }

  /**
   * Waits until the condition holds for every member, or until the timeout.
   *
   * @return in ms since {@code fromNanos}, when it came true, for each member where it did
   */
  List<Double> await(Predicate<FleetNode> condition, long fromNanos, long timeoutMs)
      throws InterruptedException {
    List<FleetNode> remaining = new ArrayList<>(nodes);
    List<Double> elapsedMs = new ArrayList<>();
    long end = fromNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!remaining.isEmpty() && System.nanoTime() < end) {
      double now = (System.nanoTime() - fromNanos) / 1e6;
      remaining.removeIf(
          node -> {
            boolean done = condition.test(node);
            if (done) {
              elapsedMs.add(now);
            }
            return done;
          });
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return elapsedMs;
  }

  @Override
  public void close() {
    nodes.forEach(FleetNode::close);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
