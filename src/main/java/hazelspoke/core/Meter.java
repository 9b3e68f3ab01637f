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
        public void taken() {}

        @Override
        public void answered(int requestClass, Answer.Outcome outcome) {}

        @Override
        public void gone(boolean sent) {}

        @Override
        public void sent() {}

        @Override
        public void late(LateAnswer why) {}

        @Override
        public void violated(Violations.Kind kind) {}
      };

  /** A request was taken: it is owed an answer from now on. */
  void taken();

  /** A request was given its answer. */
  void answered(int requestClass, Answer.Outcome outcome);

  /** The client of a request left before it had its answer; whether any host had got it. */
  void gone(boolean sent);

  /** An attempt was written whole to a host. */
  void sent();

  /** An answer left after its client had stopped waiting. */
  void late(LateAnswer why);

  /** Something came about that never must. */
  void violated(Violations.Kind kind);
}
