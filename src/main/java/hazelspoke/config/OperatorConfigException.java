package hazelspoke.config;

import java.util.List;

/** Signals an invalid operator's file, with one line for each error. */
public final class OperatorConfigException extends Exception {
  private static final long serialVersionUID = 1;

  private final transient List<String> errors;

  OperatorConfigException(List<String> errors) {
    super(String.join("; ", errors));
    this.errors = List.copyOf(errors);
  }

  /** Returns the errors, each with file, line and key. */
  public List<String> errors() {
    return errors;
  }
}
