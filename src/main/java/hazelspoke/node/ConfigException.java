package hazelspoke.node;

/** Signals an invalid configuration. The message is one line and names the field. */
final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  ConfigException(String message) {
    super(message);
  }
}
