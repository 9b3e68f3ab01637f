package ternscale.api;

import java.util.List;
import java.util.Objects;

/** An update of the host list from discovery. */
public record MembersUpdate(Kind kind, long version, List<HostEntry> entries) {
  /** What the entries represent. */
  public enum Kind {
    /** Changed entries only. */
    DELTA,
    /** The complete list. */
    FULL,
    /** The complete list last known to this gateway, possibly outdated. */
    CACHED,
    /** A call or the subscription failed; no entries. */
    FAILED,
    /** A call or the subscription stopped responding, so changes may be missing; no entries. */
    SILENT;

    /** Whether an update of this kind carries entries. */
    public boolean hasEntries() {
      return this != FAILED && this != SILENT;
    }
  }

  public MembersUpdate {
    Objects.requireNonNull(kind, "kind");
    entries = List.copyOf(entries);
  }
}
