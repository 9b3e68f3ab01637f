/**
 * The durable state of a voter: its term and vote, the entries that it has acknowledged, and the
 * newest snapshot. Entries are kept in append-only segments of frames, each with its length and
 * CRC32C (RFC 3720, appendix B.4); snapshots are written under a temporary name, synced and
 * renamed. A store is single-threaded, does not depend on consensus, network or clock, and accesses
 * files only through {@link hazelspoke.agreement.store.Disk}.
 *
 * <p>Incomplete data that is found when a store is opened is classified as follows. A <b>torn
 * tail</b> is the end of the last segment that was written but not synced when the power failed: it
 * was never acknowledged, so it is truncated and its length reported. <b>Damage</b> is any other
 * incomplete or altered data: a vote may have been lost, so the store does not open, and its owner
 * has to rejoin with an empty store and receive the record again. After a <b>failure</b> to write
 * or sync nothing is retried, as the operating system may mark pages as clean that it could not
 * write (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
 */
package hazelspoke.agreement.store;
