/**
 * What a voter must not forget: its term and vote, the entries that it has acknowledged, and the
 * newest snapshot. Append-only segments, each frame with its length and CRC32C (RFC 3720, appendix
 * B.4); snapshots are written aside, synced and renamed. One thread uses a store; it knows no
 * consensus, no network and no clock, and reaches files through {@link
 * hazelspoke.agreement.store.Disk} alone.
 *
 * <p>What is found at opening is told apart as follows. A <b>torn tail</b> is the end of the last
 * segment that was written and not synced when the power failed: nobody was told of it, so it is
 * cut off and said. <b>Damage</b> is anything else that is not whole: what was lost may have been a
 * vote that was given, so the store does not open, and its owner has to come back as one that knows
 * nothing and is filled anew. After a <b>failure</b> to write or sync nothing is tried again, as a
 * system may call pages clean that it could not write (Rebello et al., "Can Applications Recover
 * from fsync Failures?", USENIX ATC 2020).
 */
package hazelspoke.agreement.store;
