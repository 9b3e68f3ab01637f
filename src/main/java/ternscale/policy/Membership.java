package ternscale.policy;

import java.util.Random;
import ternscale.api.Actions;
import ternscale.api.MembersUpdate;
import ternscale.api.Settings;
import ternscale.api.Settings.Discovery;

/**
 * Subscribes to the host list. Where discovery answers only on request, it is one slow service that
 * all gateways share: the first calls are spread by gateway index, later ones back off with jitter.
 */
final class Membership {
  static final long TIMER = 1;

  /** Fraction of the maximum poll interval over which the fleet spreads its first calls. */
  private static final double FIRST_CALL_SPREAD = 0.8;

  /** Longest back-off after a first failure, as a fraction of that interval; it doubles. */
  private static final double INITIAL_BACKOFF = 0.15;

  /**
   * A change has to be received 6 s after discovery becomes reachable; the failed call and the next
   * one may wait for 2 s each.
   */
  static final double MAX_BACKOFF_MS = 1_500;

  /**
   * A change has to be received 6 s after discovery becomes unresponsive, which is detected after
   * 2.5 s; the next call may wait for 2 s.
   */
  static final double MAX_UNRESPONSIVE_DELAY_MS = 1_000;

  private final Settings settings;
  private final Actions actions;
  private final Random random;
  private boolean isCallScheduled;
  private int failures;

  Membership(Settings settings, Actions actions, Random random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
  }

  void start() {
    if (settings.discovery() == Discovery.ON_REQUEST) {
      double slot = (settings.instanceIndex() + random.nextDouble()) / settings.instanceCount();
      scheduleCall(slot * FIRST_CALL_SPREAD * settings.rules().maxPollIntervalMs());
    }
  }

  void onTimer() {
    if (isCallScheduled) {
      isCallScheduled = false;
      actions.watch(true);
    }
  }

  void onUpdate(MembersUpdate update) {
    boolean isUnresponsive = update.kind() == MembersUpdate.Kind.SILENT;
    if (update.kind().hasEntries()) {
      failures = 0;
    } else if (settings.discovery() == Discovery.ON_REQUEST) {
      // A failure does not say whether a call or the subscription failed: call again later. This
      // also holds while the first call is still scheduled, which may be minutes away.
      failures = isUnresponsive ? failures : Math.min(failures + 1, 4);
      double maxDelayMs =
          INITIAL_BACKOFF * settings.rules().maxPollIntervalMs() * (1 << Math.max(0, failures - 1));
      maxDelayMs =
          Math.min(maxDelayMs, isUnresponsive ? MAX_UNRESPONSIVE_DELAY_MS : MAX_BACKOFF_MS);
      scheduleCall(maxDelayMs * (1 + 2 * random.nextDouble()) / 3);
    }
  }

  private void scheduleCall(double delayMs) {
    isCallScheduled = true;
    actions.setTimer(TIMER, delayMs);
  }
}
