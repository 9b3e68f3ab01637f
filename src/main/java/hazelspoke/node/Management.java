package hazelspoke.node;

import hazelspoke.core.ByteBudget;
import hazelspoke.core.Meter;
import hazelspoke.operations.GatewayMetrics;
import hazelspoke.operations.ManagedGateway;
import hazelspoke.operations.ManagementServer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The management listener and the metrics of one gateway. If no management address is configured
 * there is no instance, and neither this class nor the {@code operations} package is loaded.
 */
final class Management implements ManagedGateway, AutoCloseable {
  /** File descriptors that the management listener needs. */
  static final int DESCRIPTORS = ManagementServer.DESCRIPTORS;

  private final Gateway gateway;
  private final GatewayMetrics metrics;
  private final ManagementServer server = new ManagementServer(this);

  Management(Gateway gateway, List<String> classNames) {
    this.gateway = gateway;
    metrics = new GatewayMetrics(classNames);
  }

  /** Starts the listener; see {@link ManagementServer#listen}. */
  InetSocketAddress listen(InetSocketAddress address) {
    return server.listen(address);
  }

  Meter meter() {
    return metrics;
  }

  /** Updates the number of listed hosts and how many of them could be sent a request now. */
  void setHostCounts(int known, int usable) {
    metrics.setHostCounts(known, Math.max(0, known - usable));
  }

  /** Updates the memory that clients and hosts make this process hold. */
  void setHeldMemory(ByteBudget requests, ByteBudget responses) {
    metrics.setHeldMemory(requests, responses);
  }

  /** Registers a gauge; {@code value} may be called from any thread. */
  void gauge(String name, LongSupplier value) {
    metrics.gauge(name, value);
  }

  void reloaded(boolean succeeded) {
    metrics.reloaded(succeeded);
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
