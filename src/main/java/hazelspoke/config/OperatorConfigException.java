package hazelspoke.config;

import java.util.List;

/** A file that cannot be used; one line for each complaint. */
public final class OperatorConfigException extends Exception {
  private static final long serialVersionUID = 1;

  private final transient List<String> complaints;

  OperatorConfigException(List<String> complaints) {
    super(String.join("; ", complaints));
    this.complaints = List.copyOf(complaints);
  }

  /** Each with file, line and key. */
  public List<String> errors() {
    return complaints;
  }
}
