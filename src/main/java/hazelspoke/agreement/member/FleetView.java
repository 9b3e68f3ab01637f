package hazelspoke.agreement.member;

import hazelspoke.agreement.record.FleetRecord;
import java.util.List;
import java.util.OptionalLong;

/**
 * A member's view of its fleet.
 *
 * @param record the local copy of the record; never null; to be read within the same event-loop
 *     iteration, as later entries change it
 * @param currentAsOfNanos the latest time, on the member's monotonic clock, at which the record was
 *     certainly complete; empty if there is none
 * @param leader the name of the leader; empty if it is unknown
 * @param voters the names of the voters
 */
public record FleetView(
    FleetRecord record, OptionalLong currentAsOfNanos, String leader, List<String> voters) {}
