package hazelspoke.emulator.model;

/**
 * The name of a link from a gateway to a host in scripts and reports: {@code g1>s3}.
 *
 * @param from the gateway, such as {@code g1}
 * @param to the original name of the host, such as {@code s3}; a replacement host keeps it
 */
public record LinkName(String from, String to) {
  private static final String ARROW = ">";

  static String of(String from, String to) {
    return from + ARROW + to;
  }

  /**
   * Parses a link name.
   *
   * @throws IllegalArgumentException if the text is not a link name
   */
  public static LinkName parse(String text) {
    int arrow = text.indexOf(ARROW);
    if (arrow <= 0 || arrow == text.length() - 1) {
      throw new IllegalArgumentException("not a link name (expected FROM>TO): " + text);
    }
    return new LinkName(text.substring(0, arrow), text.substring(arrow + 1));
  }
}
