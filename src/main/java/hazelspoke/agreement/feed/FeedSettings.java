package hazelspoke.agreement.feed;

/**
 * Intervals and limits of the replication feed.
 *
 * @param flushNanos how long a voter collects entries before it sends them together
 * @param followNanos the interval at which a subscriber renews its subscription; it switches to
 *     another voter if its source has sent nothing since the last renewal
 * @param pieceBytes the maximum size of a snapshot piece in one packet; a packet of entries takes
 *     no further entry once it has this size
 * @param snapshotBytesPerSecond the rate at which one voter sends snapshots to all subscribers
 *     together
 * @param maxKeptEntries how many entries a voter keeps for subscribers that are behind; a
 *     subscriber that needs older entries gets a snapshot
 * @param maxKeptBytes the maximum size of these entries
 */
public record FeedSettings(
    long flushNanos,
    long followNanos,
    int pieceBytes,
    long snapshotBytesPerSecond,
    int maxKeptEntries,
    int maxKeptBytes) {
  /** Renews every four heartbeats of the leader and flushes every tenth of a heartbeat. */
  public static FeedSettings defaults(long heartbeatNanos) {
    return new FeedSettings(
        heartbeatNanos / 10, 4 * heartbeatNanos, 32 << 10, 4 << 20, 4_096, 1 << 20);
  }
}
