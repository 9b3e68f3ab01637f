package hazelspoke.core;

/**
 * Counts request events. Called on the event loop, once per event and immediately after it; must
 * neither block nor throw.
 */
public interface Meter {
  /** Discards all events. */
  Meter NONE =
      new Meter() {
        @Override
        public void onAccepted() {}

        @Override
        public void onAnswered(int requestClass, Answer.Outcome outcome) {}

        @Override
        public void onClientDisconnected(boolean wasSentToHost) {}

        @Override
        public void onSent() {}

        @Override
        public void onLateAnswer(LateAnswer reason) {}

        @Override
        public void onViolation(Violations.Kind kind) {}
      };

  /** A request was accepted and awaits an answer. */
  void onAccepted();

  /** A request was answered. */
  void onAnswered(int requestClass, Answer.Outcome outcome);

  /**
   * The client disconnected before its request was answered.
   *
   * @param wasSentToHost whether any host had received the request
   */
  void onClientDisconnected(boolean wasSentToHost);

  /** An attempt was written completely to a host. */
  void onSent();

  /** An answer was written after its client's deadline. */
  void onLateAnswer(LateAnswer reason);

  /** An invariant was violated. */
  void onViolation(Violations.Kind kind);
}
