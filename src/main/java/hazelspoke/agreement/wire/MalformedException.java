package hazelspoke.agreement.wire;

/** Data that cannot be decoded; the message is one line. */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1;

  public MalformedException(String message) {
    super(message);
  }
}
