package hazelspoke.agreement.store;

/** The files of a store differ from what was synced, so a vote may have been lost. */
public final class StoreDamagedException extends Exception {
  private static final long serialVersionUID = 1;

  StoreDamagedException(String file, long offset, String reason) {
    super(file + ", byte " + offset + ": " + reason);
  }
}
