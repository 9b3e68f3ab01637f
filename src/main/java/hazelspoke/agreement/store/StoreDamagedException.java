package hazelspoke.agreement.store;

/** What is on a disk is not what was synced to it: its owner may have forgotten a vote. */
public final class StoreDamagedException extends Exception {
  private static final long serialVersionUID = 1;

  StoreDamagedException(String file, long offset, String what) {
    super(file + ", byte " + offset + ": " + what);
  }
}
