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
 * Whether what clients saw of one versioned register could have come from a single copy of it, each
 * call taking hold at one moment between its beginning and its end. Wing and Gong's search (1993)
 * with Lowe's memory of what was tried (2017).
 *
 * <p>A version is a number that grows with each write and is chosen by the register. Each write of
 * a history has a value of its own. A call whose end nobody saw may have taken hold at any time
 * after its beginning, or never. Histories of some hundred calls are decided in milliseconds; with
 * many unknown ends the search may grow, and gives up at {@link #MAX_STATES}.
 */
public final class Linearizability {
  /** So many positions are looked at before the search gives up. */
  public static final int MAX_STATES = 2_000_000;

  /** When nobody saw the end of a call. */
  public static final long UNKNOWN = Long.MAX_VALUE;

  /**
   * A call as its client saw it.
   *
   * @param from when it began
   * @param to when its end was seen, later than {@code from}; {@link #UNKNOWN} if it was not
   * @param expected of a write the version that it wanted to be the present one; below 0 for any
   * @param value what was to be written, or what was read; null for a read of nothing
   * @param writes whether it wanted to write
   * @param done of a write whether it took hold
   * @param version of the value written or read; of a write that was turned down the present one; 0
   *     for nothing there
   */
  public record Call(
      long from, long to, boolean writes, long expected, String value, boolean done, long version) {
    /** A read that was answered. */
    public static Call read(long from, long to, long version, String value) {
      return new Call(from, to, false, -1, value, true, version);
    }

    /** A write that was answered. */
    public static Call write(
        long from, long to, long expected, String value, boolean done, long version) {
      return new Call(from, to, true, expected, value, done, version);
    }

    /** A write whose end nobody saw. */
    public static Call withUnknownEnd(long from, long expected, String value) {
      return new Call(from, UNKNOWN, true, expected, value, true, 0);
    }
  }

  /** What the register holds; of a lost write the version is known only to be above another. */
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
   * Looks for an order.
   *
   * @param history of one register that held nothing at first
   * @return null if there is one; else what is wrong
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
        : "no order explains these calls; the longest that does ends before "
            + calls.get(Math.min(search.most, calls.size() - 1));
  }

  /** A lost write that somebody read has a version; it took hold. */
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

  /** What the register holds after a call, or null if it cannot come next. */
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
