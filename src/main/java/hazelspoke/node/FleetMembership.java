package hazelspoke.node;

import hazelspoke.agreement.net.FleetNode;
import hazelspoke.agreement.net.FleetSettings;
import hazelspoke.config.OperatorConfig;
import hazelspoke.config.OperatorConfigException;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A gateway's membership of its fleet. Without the operator's file neither this class nor anything
 * behind it is loaded.
 */
final class FleetMembership {
  /** What its thread and its connections need of the descriptors there are, with 7 voters. */
  static final int DESCRIPTORS = 40;

  private static final long LEAVE_MS = 400;
  private static final long TELL_EVERY_MS = 5_000;

  private final FleetNode node;
  private final boolean leavesAlone;

  private FleetMembership(FleetNode node, boolean leavesAlone) {
    this.node = node;
    this.leavesAlone = leavesAlone;
  }

  /**
   * Reads the operator's file.
   *
   * @return null where it says nothing of a fleet
   * @throws ConfigException with a line for each complaint
   */
  static FleetSettings read(String file, Map<String, String> environment) throws ConfigException {
    try {
      return OperatorConfig.read(Path.of(file), environment).fleet();
    } catch (OperatorConfigException e) {
      throw new ConfigException(String.join("\nhazelspoke: ", e.errors()));
    }
  }

  /**
   * Begins to belong.
   *
   * @throws IllegalStateException if that cannot be
   */
  static FleetMembership open(FleetSettings settings, Consumer<String> log, Runnable standing) {
    return new FleetMembership(
        FleetNode.open(settings, log, standing),
        settings.partitionPolicy() == FleetSettings.PartitionPolicy.LEAVE);
  }

  /** Returns once the record was read, as of now or later; a gateway is not ready before. */
  void awaitJoined(Consumer<String> log) {
    long told = System.nanoTime();
    while (!node.hasJoined()) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException("interrupted while waiting for the fleet's record", e);
      }
      if (System.nanoTime() - told > TELL_EVERY_MS * 1_000_000) {
        told = System.nanoTime();
        log.accept("not ready: waits for the fleet's record, which needs a majority of its voters");
      }
    }
  }

  /** Whether it is to take nobody new, as it is past its term and was told to leave then. */
  boolean isDraining() {
    return leavesAlone && !node.hasValidLease();
  }

  /** What operators see of it among the other figures. */
  void registerMetrics(Management management) {
    management.gauge("fleet.joined", () -> node.hasJoined() ? 1 : 0);
    management.gauge("fleet.holds", () -> node.hasValidLease() ? 1 : 0);
    management.gauge("fleet.leads", () -> node.isLeader() ? 1 : 0);
    management.gauge("fleet.index", node::index);
  }

  /** Goes for good. */
  void leave() {
    node.leave(LEAVE_MS);
  }

  void close() {
    node.close();
  }
}
