package hazelspoke.node;

import hazelspoke.agreement.net.FleetNode;
import hazelspoke.agreement.net.FleetSettings;
import hazelspoke.config.OperatorConfig;
import hazelspoke.config.OperatorConfigException;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A gateway's membership of its fleet. Without an operator's file, neither this class nor the
 * classes it depends on are loaded.
 */
final class FleetMembership {
  /** File descriptors that the member's thread and connections need with 7 voters. */
  static final int DESCRIPTORS = 40;

  private static final long LEAVE_TIMEOUT_MS = 400;
  private static final long LOG_INTERVAL_MS = 5_000;

  private final FleetNode node;
  private final boolean drainsWhenPartitioned;

  private FleetMembership(FleetNode node, boolean drainsWhenPartitioned) {
    this.node = node;
    this.drainsWhenPartitioned = drainsWhenPartitioned;
  }

  /**
   * Reads the operator's file.
   *
   * @return the settings, or null if the file has no fleet section
   * @throws ConfigException with one line for each error
   */
  static FleetSettings read(String file, Map<String, String> environment) throws ConfigException {
    try {
      return OperatorConfig.read(Path.of(file), environment).fleet();
    } catch (OperatorConfigException e) {
      throw new ConfigException(String.join("\nhazelspoke: ", e.errors()));
    }
  }

  /**
   * Starts the member.
   *
   * @param onStatusChange runs on the fleet's thread when the validity of the session has changed
   * @throws IllegalStateException if the member cannot start
   */
  static FleetMembership open(
      FleetSettings settings, Consumer<String> log, Runnable onStatusChange) {
    return new FleetMembership(
        FleetNode.open(settings, log, onStatusChange),
        settings.partitionPolicy() == FleetSettings.PartitionPolicy.LEAVE);
  }

  /**
   * Blocks until the record, as of this call or later, has been read; a gateway is not ready
   * before.
   */
  void awaitJoined(Consumer<String> log) {
    long lastLoggedNanos = System.nanoTime();
    while (!node.hasJoined()) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException("interrupted while waiting for the fleet's record", e);
      }
      if (System.nanoTime() - lastLoggedNanos > LOG_INTERVAL_MS * 1_000_000) {
        lastLoggedNanos = System.nanoTime();
        log.accept(
            "not ready: waiting for the fleet's record, which needs a majority of its voters");
      }
    }
  }

  /** Returns whether the session is not valid and the settings ask for a drain in that case. */
  boolean isDraining() {
    return drainsWhenPartitioned && !node.hasValidLease();
  }

  /** Registers the fleet's gauges. */
  void registerMetrics(Management management) {
    management.gauge("fleet.joined", () -> node.hasJoined() ? 1 : 0);
    management.gauge("fleet.holds", () -> node.hasValidLease() ? 1 : 0);
    management.gauge("fleet.leads", () -> node.isLeader() ? 1 : 0);
    management.gauge("fleet.index", node::index);
  }

  /** Ends the session permanently, before this process shuts down. */
  void leave() {
    node.leave(LEAVE_TIMEOUT_MS);
  }

  void close() {
    node.close();
  }
}
