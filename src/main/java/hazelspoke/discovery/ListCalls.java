package hazelspoke.discovery;

import hazelspoke.core.HostLimit;
import hazelspoke.core.HostList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import ternscale.api.HostEntry;

/**
 * Decides which calls to discovery stay open, and which of their updates are applied, while its
 * address may change at any moment. Without sockets or timers.
 *
 * <p>A change of the address closes nothing: a former address goes on delivering changes until it
 * closes its connections, and a call that waits there may be the next one to be answered. A call is
 * closed once a call at the same or a newer endpoint has delivered a complete line, or for want of
 * room ({@link #MAX_WAITING}) when others were opened shortly before and after it. The most recent
 * endpoint that has delivered a line has priority. An answer from a former address is not applied
 * while a watch at the configured address is active, but is kept until that one ends.
 */
final class ListCalls {
  /** Limit of calls at all endpoints beside the active watch. */
  static final int MAX_WAITING = 6;

  /** Carries out what was decided. */
  interface Listener {
    /** Closes the connection of a call, which is no longer part of this set. */
    void close(ListCall call);

    void apply(HostList.Update update);
  }

  private final Listener listener;
  private final List<ListCall> calls = new ArrayList<>();
  private final ReportedHosts reported = new ReportedHosts();
  private Endpoint current;
  private long order;
  private ListCall active;

  /** The endpoint whose list is in use, and the version of that list. */
  private Endpoint listEndpoint;

  private long listVersion;

  /** Whether reports contradicted one another, so that a complete list has to decide. */
  private boolean needsCompleteList;

  /** Position of the contradiction; the list of a call that was opened later decides. */
  private long contradictionOrder;

  ListCalls(InetSocketAddress address, long version, Listener listener) {
    this.listener = listener;
    current = new Endpoint(address, 0);
    listEndpoint = current;
    listVersion = version;
  }

  Endpoint current() {
    return current;
  }

  ListCall active() {
    return active;
  }

  /** Whether the active watch is one at the current endpoint. */
  boolean isCurrentActive() {
    return active != null && active.endpoint == current;
  }

  /** Makes another address the current one, also if it was configured before. */
  void moveTo(InetSocketAddress address) {
    current = new Endpoint(address, current.generation() + 1);
  }

  /** Whether a complete list has to be asked for, as calls contradicted one another. */
  boolean needsCompleteList() {
    return needsCompleteList;
  }

  /** Whether nothing is open at the current endpoint from which its list would be received. */
  boolean needsWatch() {
    return !hasWaitingWatch() && (!isCurrentActive() || needsCompleteList);
  }

  boolean hasWaitingWatch() {
    return contains(call -> call.isWaitingWatchAt(current));
  }

  boolean hasWaitingPoll() {
    return contains(call -> !call.isWatch && call.endpoint == current);
  }

  private boolean contains(Predicate<ListCall> condition) {
    return calls.stream().anyMatch(condition);
  }

  /** Whether a watch at the current endpoint is receiving its first line. */
  boolean isReceivingFirstLine(double nowMs, double timeoutMs) {
    return contains(
        call ->
            call.isWaitingWatchAt(current)
                && call.hasProgress()
                && nowMs - call.progressAtMs <= timeoutMs);
  }

  /** Whether a call is the last opened one of the watches that wait at the current endpoint. */
  boolean isNewestWaitingWatch(ListCall call) {
    return call.isWaitingWatchAt(current)
        && !contains(other -> other.isWaitingWatchAt(current) && other.order > call.order);
  }

  /** Adds a watch at the current endpoint, of which at most {@code maxWaiting} wait. */
  ListCall openWatch(double nowMs, int maxWaiting) {
    List<ListCall> waiting = calls.stream().filter(call -> call.isWaitingWatchAt(current)).toList();
    if (waiting.size() >= maxWaiting) {
      closeLeastNeeded(waiting, waiting, nowMs);
    }
    return open(true, nowMs);
  }

  ListCall openPoll(double nowMs) {
    return open(false, nowMs);
  }

  private ListCall open(boolean isWatch, double nowMs) {
    makeRoom(nowMs);
    boolean isListInUse = current == listEndpoint && !needsCompleteList;
    ListCall call = new ListCall(current, isWatch, isListInUse ? listVersion : 0, ++order, nowMs);
    calls.add(call);
    return call;
  }

  /** Closes a call at a former endpoint if there are too many. */
  private void makeRoom(double nowMs) {
    List<ListCall> waiting = calls.stream().filter(call -> call != active).toList();
    if (waiting.size() >= MAX_WAITING) {
      List<ListCall> former = waiting.stream().filter(call -> call.endpoint != current).toList();
      closeLeastNeeded(former, waiting, nowMs);
    }
  }

  /**
   * Closes one of some calls. The oldest is the next one to be answered and stays until its time is
   * over; of the others the one that has the least time between its neighbours goes, as the next
   * one replaces it with the least delay.
   */
  private void closeLeastNeeded(List<ListCall> candidates, List<ListCall> waiting, double nowMs) {
    if (candidates.isEmpty()) {
      return;
    }
    ListCall oldest = candidates.get(0);
    boolean isOverdue = nowMs - oldest.openedAtMs > ListCall.ANSWER_TIMEOUT_MS;
    Optional<ListCall> other =
        candidates.stream()
            .skip(1)
            .min(Comparator.comparingDouble(call -> gapWithoutMs(call, waiting, nowMs)));
    close(isOverdue ? oldest : other.orElse(oldest));
  }

  /** The time between the calls opened before and after a call; the next one is opened now. */
  private static double gapWithoutMs(ListCall call, List<ListCall> waiting, double nowMs) {
    int index = waiting.indexOf(call);
    double nextMs = index + 1 < waiting.size() ? waiting.get(index + 1).openedAtMs : nowMs;
    return nextMs - waiting.get(index - 1).openedAtMs;
  }

  /** Handles an update; one with a negative version is part of a line that is not complete. */
  void onUpdate(ListCall call, HostList.Update update, double nowMs) {
    call.progressAtMs = nowMs;
    if (call.state == ListCall.State.STANDBY || isOutranked(call)) {
      applyDrains(call, update);
      keepAside(call, update);
      return;
    }
    boolean isLine = update.version() >= 0;
    if (isLine && call.isWatch && call.state == ListCall.State.WAITING) {
      activate(call);
    }
    apply(call, update);
  }

  /** Handles an empty line: nothing has changed since the version that was asked for. */
  void onEmptyLine(ListCall call) {
    boolean isListInUse = call.endpoint == listEndpoint && !needsCompleteList;
    if (call.isWatch && call.state == ListCall.State.WAITING && isListInUse && !isOutranked(call)) {
      activate(call);
    }
  }

  /** Whether a call is at a former address while a watch at the configured one is active. */
  private boolean isOutranked(ListCall call) {
    return active != null
        && active != call
        && active.endpoint.hasAddressOf(current)
        && !call.endpoint.hasAddressOf(current);
  }

  private void activate(ListCall call) {
    if (active != null) {
      close(active);
    }
    active = call;
    call.state = ListCall.State.ACTIVE;
    listEndpoint = call.endpoint;
    if (call.order > contradictionOrder) {
      needsCompleteList = false;
    }
    long generation = call.endpoint.generation();
    closeAll(
        other ->
            other.endpoint.generation() < generation
                || (other.isWatch && other != call && other.endpoint == call.endpoint));
  }

  private void apply(ListCall call, HostList.Update update) {
    boolean isLine = update.version() >= 0;
    HostList.Update reconciled = reported.reconcile(call, update);
    boolean isDoubtful =
        !reconciled.equals(update) || (update.complete() && reported.hasNewerReports(call, update));
    if (isLine && isDoubtful && !needsCompleteList) {
      requireCompleteList();
    }
    if (isLine) {
      call.version = update.version();
      if (call.endpoint == listEndpoint) {
        listVersion = update.version();
      }
    }
    record(call, update);
    listener.apply(reconciled);
  }

  /**
   * Applies what a call that is kept aside reports as draining or gone, until a list of the
   * configured address decides: where both addresses are one service, that is known now.
   */
  private void applyDrains(ListCall call, HostList.Update update) {
    List<HostList.Listed> drains =
        update.hosts().stream()
            .filter(host -> host.entry().availability() != HostEntry.Availability.UP)
            .toList();
    HostList.Update drained = new HostList.Update(false, update.version(), drains);
    if (!drains.isEmpty()) {
      requireCompleteList();
      HostList.Update reconciled = reported.reconcile(call, drained);
      record(call, drained);
      listener.apply(reconciled);
    }
  }

  private void requireCompleteList() {
    needsCompleteList = true;
    contradictionOrder = order;
  }

  /** Keeps an update for as long as another open call may contradict it. */
  private void record(ListCall call, HostList.Update update) {
    boolean isOnlyCall = calls.size() == 1 && call == active;
    if (isOnlyCall && !needsCompleteList) {
      reported.clear();
      return;
    }
    reported.record(call, update, ++order);
    calls.stream().mapToLong(open -> open.order).min().ifPresent(reported::forgetBefore);
  }

  /** Keeps the list of a watch that is not applied, or closes the call if it is of no use. */
  private void keepAside(ListCall call, HostList.Update update) {
    boolean isLine = update.version() >= 0;
    if (call.state == ListCall.State.STANDBY) {
      extendStandby(call, update, isLine);
    } else if (isLine) {
      makeStandby(call, update);
    }
  }

  private void makeStandby(ListCall call, HostList.Update list) {
    if (!call.isWatch || !list.complete()) {
      close(call);
      return;
    }
    closeAll(other -> other.state == ListCall.State.STANDBY);
    call.state = ListCall.State.STANDBY;
    call.standbyList = list;
    call.version = list.version();
  }

  private void extendStandby(ListCall call, HostList.Update update, boolean isLine) {
    if (isLine) {
      call.standbyList = call.standbyList.changedBy(update);
      call.standbyPart.clear();
      call.version = update.version();
    } else {
      call.standbyPart.addAll(update.hosts());
    }
    if (call.standbyList.hosts().size() > HostLimit.MAX_HOSTS) {
      close(call);
    }
  }

  /** Handles the end of a call that was not closed by this set. */
  void onEnded(ListCall call) {
    calls.remove(call);
    if (call == active) {
      active = null;
      calls.stream()
          .filter(other -> other.state == ListCall.State.STANDBY)
          .max(Comparator.comparingLong(other -> other.order))
          .ifPresent(this::useStandby);
    }
  }

  private void useStandby(ListCall standby) {
    activate(standby);
    apply(standby, standby.standbyList);
    if (!standby.standbyPart.isEmpty()) {
      apply(standby, new HostList.Update(false, -1, List.copyOf(standby.standbyPart)));
    }
    standby.standbyList = null;
    standby.standbyPart.clear();
  }

  /** Closes the watches that wait. */
  void closeWaitingWatches() {
    closeAll(call -> call.isWatch && call != active);
  }

  void closeWatches() {
    closeAll(call -> call.isWatch);
  }

  private void closeAll(Predicate<ListCall> condition) {
    calls.stream().filter(condition).toList().forEach(this::close);
  }

  private void close(ListCall call) {
    calls.remove(call);
    if (call == active) {
      active = null;
    }
    listener.close(call);
  }
}
