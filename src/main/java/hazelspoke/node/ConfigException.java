package hazelspoke.node;

/** A configuration that cannot be used; the message is one line and names the field. */
final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  ConfigException(String message) {
    super(message);
  }
}
