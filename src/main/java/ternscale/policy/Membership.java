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

  /** Longest back-off after a first failure, as a part of the permitted silence. */
  private static final double BACK_OFF = 0.15;

  /** And after silence, which counts as told 6 s after its begin: 3 s show it, calls wait 2 s. */
  private static final double UNHEARD_MS = 1_000;

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
      double slot = (settings.me() + random.nextDouble()) / settings.instances();
      callIn(slot * SPREAD * settings.rules().mustAskInMs());
    }
  }

  void onTimer() {
    if (waiting) {
      waiting = false;
      actions.watch(true);
    }
  }

  void onUpdate(MembersUpdate update) {
    if (settings.discovery() != Discovery.ON_REQUEST
        || update.kind() == MembersUpdate.Kind.CACHED) {
      return;
    }
    // A failure names no call: whether ours failed or the subscription broke, ask again later.
    boolean silent = update.kind() == MembersUpdate.Kind.SILENT;
    failures = update.kind().isNews() ? 0 : silent ? failures : Math.min(failures + 1, 4);
    waiting &= !silent; // For a first call that may be minutes off.
    double most = BACK_OFF * settings.rules().mustAskInMs() * (1 << Math.max(0, failures - 1));
    if (!update.kind().isNews()) {
      callIn(Math.min(most, silent ? UNHEARD_MS : most) * (1 + 2 * random.nextDouble()) / 3);
    }
  }

  private void callIn(double delayMs) {
    if (!waiting) {
      waiting = true;
      actions.setTimer(TIMER, delayMs);
    }
  }
}
