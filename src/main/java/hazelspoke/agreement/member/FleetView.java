package hazelspoke.agreement.member;

import hazelspoke.agreement.record.FleetRecord;
import java.util.List;
import java.util.OptionalLong;

/**
 * What a member knows of its fleet.
 *
 * @param record as far as it is known; never null, to be read within the same turn, as entries that
 *     come change it
 * @param currentAsOfNanos the record went no further then, on its own monotonic clock, in ns; empty
 *     while that is not known of any time
 * @param leader empty if it knows of none
 * @param voters the names of those whose votes count
 */
public record FleetView(
    FleetRecord record, OptionalLong currentAsOfNanos, String leader, List<String> voters) {}
