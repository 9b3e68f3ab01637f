package ternscale.api;

import java.util.List;
import java.util.Objects;

/** News from discovery. */
public record MembersUpdate(Kind kind, long version, List<HostEntry> entries) {
  /** What the entries stand for. */
  public enum Kind {
    /** Only what changed. */
    DELTA,
    /** The complete list. */
    FULL,
    /** The complete list this gateway last held, perhaps outdated. */
    CACHED,
    /** A call failed or the subscription broke; no entries. */
    FAILED,
    /** A call or the subscription fell silent, so that news may have been missed; no entries. */
    UNRESPONSIVE;

    /** Whether entries come with it. */
    public boolean hasEntries() {
      return this != FAILED && this != UNRESPONSIVE;
    }
  }

  public MembersUpdate {
    Objects.requireNonNull(kind, "kind");
    entries = List.copyOf(entries);
  }
}
