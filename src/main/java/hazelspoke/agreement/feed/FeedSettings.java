package hazelspoke.agreement.feed;

/**
 * How fast and how much.
 *
 * @param flushNanos entries that come within this time are pushed together, in ns
 * @param followNanos a follower says so often that it follows, and leaves a voter that it has not
 *     heard since the last time, in ns
 * @param pieceBytes the longest part of a snapshot, or of entries, in one packet
 * @param bytesASecond of snapshots that one voter sends, to all that want one together
 * @param keptEntries so many are kept for followers that are behind; beyond that a snapshot is due
 * @param keptBytes of these, at most
 */
public record FeedSettings(
    long flushNanos,
    long followNanos,
    int pieceBytes,
    long snapshotBytesPerSecond,
    int maxKeptEntries,
    int maxKeptBytes) {
  /** Four signs of life of a leader, and a tenth of one. */
  public static FeedSettings defaults(long heartbeatNanos) {
    return new FeedSettings(
        heartbeatNanos / 10, 4 * heartbeatNanos, 32 << 10, 4 << 20, 4_096, 1 << 20);
  }
}
