package ternscale.policy;

import java.util.Random;
import ternscale.api.Actions;
import ternscale.api.MembersUpdate;
import ternscale.api.Settings;
import ternscale.api.Settings.Discovery;

/**
 * Follows the list. Where discovery speaks only when asked, it is one slow service for every
 * gateway: the first calls are spread by the gateway's own number, later ones back off with jitter.
 */
final class Membership {
  static final long TIMER = 1;

  /** Part of the permitted silence over which the fleet spreads its first calls. */
  private static final double SPREAD = 0.8;

  /** Longest back-off after a first failure, as a part of the permitted silence; it doubles. */
  private static final double BACK_OFF = 0.15;

  /** Told 6 s after discovery could be reached: the call that failed and the next wait 2 s each. */
  static final double MOST_BACK_OFF_MS = 1_500;

  /** Told 6 s after the begin of silence: it shows after 2.5 s, and the next call waits 2 s. */
  static final double UNHEARD_MS = 1_000;

  private final Settings settings;
  private final Actions actions;
  private final Random random;
  private boolean waiting;
  private int failures;

  Membership(Settings settings, Actions actions, Random random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
  }

  void start() {
    if (settings.discovery() == Discovery.ON_REQUEST) {
      double slot = (settings.instanceIndex() + random.nextDouble()) / settings.instanceCount();
      callIn(slot * SPREAD * settings.rules().maxPollIntervalMs());
    }
  }

  void onTimer() {
    if (waiting) {
      waiting = false;
      actions.watch(true);
    }
  }

  void onUpdate(MembersUpdate update) {
    boolean silent = update.kind() == MembersUpdate.Kind.UNRESPONSIVE;
    if (update.kind().hasEntries()) {
      failures = 0;
    } else if (settings.discovery() == Discovery.ON_REQUEST) {
      // A failure names no call: whether ours failed or the watch broke, ask again later; also
      // where a first call is still to come, which may be minutes off.
      failures = silent ? failures : Math.min(failures + 1, 4);
      double most =
          BACK_OFF * settings.rules().maxPollIntervalMs() * (1 << Math.max(0, failures - 1));
      most = Math.min(most, silent ? UNHEARD_MS : MOST_BACK_OFF_MS);
      callIn(most * (1 + 2 * random.nextDouble()) / 3);
    }
  }

  private void callIn(double delayMs) {
    waiting = true;
    actions.setTimer(TIMER, delayMs);
  }
}
