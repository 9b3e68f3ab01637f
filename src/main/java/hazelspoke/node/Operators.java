package hazelspoke.node;

import hazelspoke.core.Meter;
import hazelspoke.operations.Figures;
import hazelspoke.operations.ManagementServer;
import hazelspoke.operations.Operated;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * What operators have of one gateway: their listener and the figures. A gateway has none where they
 * have no address, and then neither this class nor the package behind it is loaded.
 */
final class Operators implements Operated, AutoCloseable {
  /** What their listener needs of the descriptors there are. */
  static final int DESCRIPTORS = ManagementServer.DESCRIPTORS;

  private final Gateway gateway;
  private final Figures figures;
  private final ManagementServer server = new ManagementServer(this);

  Operators(Gateway gateway, List<String> classNames) {
    this.gateway = gateway;
    figures = new Figures(classNames);
  }

  /** Lets them call there; see {@link ManagementServer#listen}. */
  InetSocketAddress listen(InetSocketAddress address) {
    return server.listen(address);
  }

  Meter meter() {
    return figures;
  }

  /** Notes how many hosts are listed, and how many of them would be sent a request now. */
  void hosts(int known, int usable) {
    figures.hosts(known, Math.max(0, known - usable));
  }

  /** Adds a figure that any thread may ask for. */
  void gauge(String name, LongSupplier value) {
    figures.gauge(name, value);
  }

  void loaded(boolean good) {
    figures.loaded(good);
  }

  void nameClasses(List<String> names) {
    figures.nameClasses(names);
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
  public String figures() {
    return figures.text();
  }

  @Override
  public void close() {
    server.close();
  }
}
