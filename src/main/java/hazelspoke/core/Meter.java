package hazelspoke.core;

/**
 * Counts what becomes of requests. Told on the loop, of each thing once and right after it
 * happened; must neither block nor throw.
 */
public interface Meter {
  /** Counts nothing, at no cost. */
  Meter NONE =
      new Meter() {
        @Override
        public void onAccepted() {}

        @Override
        public void onAnswered(int requestClass, Answer.Outcome outcome) {}

        @Override
        public void onClientDisconnected(boolean sent) {}

        @Override
        public void onSent() {}

        @Override
        public void onLateAnswer(LateAnswer why) {}

        @Override
        public void onViolation(Violations.Kind kind) {}
      };

  /** A request was taken: it is owed an answer from now on. */
  void onAccepted();

  /** A request was given its answer. */
  void onAnswered(int requestClass, Answer.Outcome outcome);

  /** The client of a request left before it had its answer; whether any host had got it. */
  void onClientDisconnected(boolean sent);

  /** An attempt was written whole to a host. */
  void onSent();

  /** An answer left after its client had stopped waiting. */
  void onLateAnswer(LateAnswer why);

  /** Something came about that never must. */
  void onViolation(Violations.Kind kind);
}
