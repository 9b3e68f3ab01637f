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

/** The members that do not vote, hollow, on a few loops of this process. */
final class HollowFleet implements AutoCloseable {
  private static final String THREAD = "hollow";
  private static final int LOOPS = 2;

  private final Places places;
  private final List<String> names;
  private final Map<String, InetSocketAddress> addresses;
  private final Path folder;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          LOOPS, new DefaultThreadFactory(THREAD, true), NioIoHandler.newFactory());
  private final List<FleetNode> nodes = new ArrayList<>();

  HollowFleet(Places places, Path folder) {
    this.places = places;
    this.folder = folder;
    names = places.names();
    addresses = places.addresses();
  }

  /** Starts all from this member on, as fast as this process can. */
  void open(int first) {
    for (int member = first; member < places.members(); member++) {
      EventLoop loop = group.next();
      nodes.add(
          FleetNode.open(
              places.settings(member, names, addresses, folder.resolve(Places.name(member))),
              loop,
              line -> {},
              () -> {}));
    }
  }

  /** So many end at once, as if their processes had; the last ones. */
  void lose(int count) {
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
    return Voter.cpuNanos(List.of(THREAD));
  }

  long in() {
    return nodes.stream().mapToLong(n -> n.traffic().receivedBytes()).sum();
  }

  long out() {
    return nodes.stream().mapToLong(n -> n.traffic().sentBytes()).sum();
  }

  /**
   * Waits until this holds of all of them.
   *
   * @return for each how long that took, in ms, from a moment on; as many as it came true for
   */
  List<Double> await(Predicate<FleetNode> what, long fromNanos, long mostMs)
      throws InterruptedException {
    List<FleetNode> left = new ArrayList<>(nodes);
    List<Double> took = new ArrayList<>();
    long end = fromNanos + TimeUnit.MILLISECONDS.toNanos(mostMs);
    while (!left.isEmpty() && System.nanoTime() < end) {
      double now = (System.nanoTime() - fromNanos) / 1e6;
      left.removeIf(
          node -> {
            boolean done = what.test(node);
            if (done) {
              took.add(now);
            }
            return done;
          });
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return took;
  }

  @Override
  public void close() {
    nodes.forEach(FleetNode::close);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
