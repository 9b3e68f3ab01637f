package hazelspoke.agreement.member;

/** The data directory belongs to another member or fleet; the message is one line. */
public final class WrongDataDirectoryException extends Exception {
  private static final long serialVersionUID = 1;

  WrongDataDirectoryException(String message) {
    super(message);
  }
}
