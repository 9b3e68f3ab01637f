package hazelspoke.emulator.report;

/** Text within a page. */
final class Html {
  private Html() {}

  static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")
        .replace("'", "&#39;");
  }
}
