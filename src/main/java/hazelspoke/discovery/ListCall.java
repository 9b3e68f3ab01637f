package hazelspoke.discovery;

import hazelspoke.core.HostList;
import java.util.ArrayList;
import java.util.List;

/** What is known of one open call to discovery, a watch or a poll, without its connection. */
final class ListCall {
  /** Time for an answer: up to 1 s to connect, and up to 2 s in discovery's queue. */
  static final double ANSWER_TIMEOUT_MS = 3_000;

  /** How far a call has come. */
  enum State {
    /** No complete line was received yet. */
    WAITING,

    /** The watch whose changes are applied. */
    ACTIVE,

    /** An answered watch whose list is kept aside, for the case that the active one ends. */
    STANDBY
  }

  final Endpoint endpoint;
  final boolean isWatch;

  /** The version after which discovery is asked for changes; 0 for the complete list. */
  final long from;

  /** Position among all calls and reports, in the order in which they happened. */
  final long order;

  final double openedAtMs;
  State state = State.WAITING;

  /** When an entry was last received; the time of opening before that. */
  double progressAtMs;

  /** Version of the last complete line, or -1. */
  long version = -1;

  /** The list of a standby after its last complete line. */
  HostList.Update standbyList;

  /** What was received of the next line of a standby. */
  final List<HostList.Listed> standbyPart = new ArrayList<>();

  ListCall(Endpoint endpoint, boolean isWatch, long from, long order, double openedAtMs) {
    this.endpoint = endpoint;
    this.isWatch = isWatch;
    this.from = from;
    this.order = order;
    this.openedAtMs = openedAtMs;
    progressAtMs = openedAtMs;
  }

  boolean isWaitingWatchAt(Endpoint other) {
    return isWatch && state == State.WAITING && endpoint == other;
  }

  boolean hasProgress() {
    return progressAtMs > openedAtMs;
  }
}
