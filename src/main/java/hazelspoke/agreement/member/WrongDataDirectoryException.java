package hazelspoke.agreement.member;

/** A data folder that is another member's; the message is one line. */
public final class WrongDataDirectoryException extends Exception {
  private static final long serialVersionUID = 1;

  WrongDataDirectoryException(String message) {
    super(message);
  }
}
