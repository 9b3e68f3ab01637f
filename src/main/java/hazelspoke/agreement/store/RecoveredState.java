package hazelspoke.agreement.store;

import java.util.List;

/**
 * What a store holds.
 *
 * @param term the latest that its owner has been in; 0 at first
 * @param votedFor whom it voted for in that term; empty for nobody
 * @param entries those after the snapshot, in order
 * @param truncatedBytes how much of a torn tail was left out at opening
 */
public record RecoveredState(
    int term, String votedFor, Snapshot snapshot, List<Entry> entries, long truncatedBytes) {
  public RecoveredState {
    entries = List.copyOf(entries);
  }

  /** The index of the last entry, in the snapshot or after it. */
  public long lastIndex() {
    return entries.isEmpty() ? snapshot.index() : entries.get(entries.size() - 1).index();
  }
}
