package hazelspoke.emulator.judge;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks whether a history of calls to one versioned register is linearizable: whether each call
 * can have taken effect at one instant between its start and its end. Implements Wing and Gong's
 * search (1993) with Lowe's memoization of visited states (2017).
 *
 * <p>The register assigns an increasing version to each write. Each write of a history has a
 * distinct value. A call whose end was not observed may have taken effect at any time after its
 * start, or never. Histories of a few hundred calls are decided in milliseconds; many unknown ends
 * can enlarge the search, which stops at {@link #MAX_STATES}.
 */
public final class Linearizability {
  /** Maximum number of states that are visited before the search is abandoned. */
  public static final int MAX_STATES = 2_000_000;

  /** End time of a call whose end was not observed. */
  public static final long UNKNOWN = Long.MAX_VALUE;

  /**
   * A call as observed by its client.
   *
   * @param from start time
   * @param to end time, later than {@code from}; {@link #UNKNOWN} if not observed
   * @param expected for a write, the required current version; negative for any
   * @param value the value written or read; null for a read of an empty register
   * @param writes whether the call is a write
   * @param done for a write, whether it took effect
   * @param version the version of the value written or read; for a rejected write the current
   *     version; 0 for an empty register
   */
  public record Call(
      long from, long to, boolean writes, long expected, String value, boolean done, long version) {
    /** Creates a completed read. */
    public static Call read(long from, long to, long version, String value) {
      return new Call(from, to, false, -1, value, true, version);
    }

    /** Creates a completed write. */
    public static Call write(
        long from, long to, long expected, String value, boolean done, long version) {
      return new Call(from, to, true, expected, value, done, version);
    }

    /** Creates a write whose end was not observed. */
    public static Call withUnknownEnd(long from, long expected, String value) {
      return new Call(from, UNKNOWN, true, expected, value, true, 0);
    }
  }

  /**
   * The content of the register. After a write with an unknown end only a lower bound of the
   * version is known.
   */
  private record State(long version, long above, String value) {
    private static final long NOT_KNOWN = -1;

    State is(long at) {
      if (version == at) {
        return this;
      }
      return version == NOT_KNOWN && at > above ? new State(at, at, value) : null;
    }

    long least() {
      return version == NOT_KNOWN ? above : version;
    }
  }

  private record Position(BitSet taken, State state) {}

  private final List<Call> calls;
  private final Set<Position> tried = new HashSet<>();
  private int most;

  private Linearizability(List<Call> calls) {
    this.calls = calls;
  }

  /**
   * Searches for a linearization of the history.
   *
   * @param history calls to one register that is initially empty
   * @return null if there is one; otherwise a description of the failure
   */
  public static String check(List<Call> history) {
    List<Call> calls = new ArrayList<>(resolved(history));
    calls.sort(Comparator.comparingLong(Call::from));
    Linearizability search = new Linearizability(calls);
    try {
      if (search.from(new BitSet(), new State(0, 0, null))) {
        return null;
      }
    } catch (StackOverflowError e) {
      return "not decided: " + calls.size() + " calls are too many";
    }
    return search.tried.size() >= MAX_STATES
        ? "not decided after " + MAX_STATES + " positions"
        : "no order explains these calls; the longest valid prefix ends before  "
            + calls.get(Math.min(search.most, calls.size() - 1));
  }

  /**
   * Assigns the observed version to each write with an unknown end whose value was read; such a
   * write took effect.
   */
  private static List<Call> resolved(List<Call> history) {
    Map<String, Long> read = new HashMap<>();
    for (Call call : history) {
      if (!call.writes && call.value != null) {
        read.put(call.value, call.version);
      }
    }
    return history.stream()
        .map(
            call ->
                call.to == UNKNOWN && read.containsKey(call.value)
                    ? new Call(
                        call.from,
                        UNKNOWN,
                        true,
                        call.expected,
                        call.value,
                        true,
                        read.get(call.value))
                    : call)
        .toList();
  }

  private boolean from(BitSet taken, State state) {
    long firstEnd = UNKNOWN;
    boolean left = false;
    for (int i = taken.nextClearBit(0); i < calls.size(); i = taken.nextClearBit(i + 1)) {
      firstEnd = Math.min(firstEnd, calls.get(i).to);
      left |= calls.get(i).to != UNKNOWN;
    }
    if (!left) {
      return true;
    }
    if (tried.size() >= MAX_STATES || !tried.add(new Position((BitSet) taken.clone(), state))) {
      return false;
    }
    most = Math.max(most, taken.cardinality());
    for (int i = taken.nextClearBit(0); i < calls.size(); i = taken.nextClearBit(i + 1)) {
      if (calls.get(i).from > firstEnd) {
        break;
      }
      State next = after(state, calls.get(i));
      if (next != null) {
        taken.set(i);
        if (from(taken, next)) {
          return true;
        }
        taken.clear(i);
      }
    }
    return false;
  }

  /** Returns the content of the register after a call, or null if the call cannot come next. */
  private static State after(State state, Call call) {
    if (!call.writes) {
      State same = state.is(call.version);
      boolean value = call.value == null ? state.value == null : call.value.equals(state.value);
      return same != null && value ? same : null;
    }
    if (!call.done) {
      State same = state.is(call.version);
      return same != null && call.expected >= 0 && call.expected != call.version ? same : null;
    }
    State before = call.expected < 0 ? state : state.is(call.expected);
    if (before == null) {
      return null;
    }
    if (call.version == 0) {
      return new State(State.NOT_KNOWN, before.least(), call.value);
    }
    return call.version > before.least() ? new State(call.version, call.version, call.value) : null;
  }
}
