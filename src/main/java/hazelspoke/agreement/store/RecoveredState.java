package hazelspoke.agreement.store;

import java.util.List;

/**
 * The state of a store when it was opened.
 *
 * @param term the owner's latest term; 0 if it has not been in any
 * @param votedFor the voter that it voted for in that term; empty if none
 * @param entries the entries after the snapshot, in order
 * @param truncatedBytes the length of a torn tail that was left out
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
