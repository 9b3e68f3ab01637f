package hazelspoke.emulator.model;

/**
 * The way from one gateway to one host, as scripts and reports call it: {@code g1>s3}.
 *
 * @param from the gateway, such as {@code g1}
 * @param to the host as it was drawn, such as {@code s3}; one that replaces it stands in its place
 */
public record LinkName(String from, String to) {
  private static final String ARROW = ">";

  static String of(String from, String to) {
    return from + ARROW + to;
  }

  /**
   * Reads one.
   *
   * @throws IllegalArgumentException for what is none
   */
  public static LinkName parse(String text) {
    int arrow = text.indexOf(ARROW);
    if (arrow <= 0 || arrow == text.length() - 1) {
      throw new IllegalArgumentException("no link: " + text);
    }
    return new LinkName(text.substring(0, arrow), text.substring(arrow + 1));
  }
}
