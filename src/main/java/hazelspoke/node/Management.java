package hazelspoke.node;

import hazelspoke.core.Meter;
import hazelspoke.operations.GatewayMetrics;
import hazelspoke.operations.ManagedGateway;
import hazelspoke.operations.ManagementServer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * What operators have of one gateway: their listener and the metrics. A gateway has none where they
 * have no address, and then neither this class nor the package behind it is loaded.
 */
final class Management implements ManagedGateway, AutoCloseable {
  /** What their listener needs of the descriptors there are. */
  static final int DESCRIPTORS = ManagementServer.DESCRIPTORS;

  private final Gateway gateway;
  private final GatewayMetrics metrics;
  private final ManagementServer server = new ManagementServer(this);

  Management(Gateway gateway, List<String> classNames) {
    this.gateway = gateway;
    metrics = new GatewayMetrics(classNames);
  }

  /** Lets them call there; see {@link ManagementServer#listen}. */
  InetSocketAddress listen(InetSocketAddress address) {
    return server.listen(address);
  }

  Meter meter() {
    return metrics;
  }

  /** Notes how many hosts are listed, and how many of them would be sent a request now. */
  void setHostCounts(int known, int usable) {
    metrics.setHostCounts(known, Math.max(0, known - usable));
  }

  /** Adds a figure that any thread may ask for. */
  void gauge(String name, LongSupplier value) {
    metrics.gauge(name, value);
  }

  void reloaded(boolean good) {
    metrics.reloaded(good);
  }

  void setClasses(List<String> names) {
    metrics.setClasses(names);
  }

  @Override
  public boolean isReady() {
    return gateway.isServing();
  }

  @Override
  public boolean setDraining(boolean on) {
    return gateway.setDraining(on);
  }

  @Override
  public String metrics() {
    return metrics.text();
  }

  @Override
  public void close() {
    server.close();
  }
}
