package hazelspoke.emulator.model;

/**
 * One request as it was planned, before anybody asks it.
 *
 * @param number from 0, in the order of asking
 * @param atMs when it is to be asked, since the start of the load
 * @param site place of the client's site
 * @param requestClass place of its class
 * @param key what it is about
 * @param workMs on a core of speed 1, before the noise of an attempt
 * @param hintUs what the client says of its work, in microseconds
 */
public record Arrival(
    int number, double atMs, int site, int requestClass, int key, double workMs, long hintUs) {
  /** The same, asked so much later. */
  public Arrival later(double byMs) {
    return new Arrival(number, atMs + byMs, site, requestClass, key, workMs, hintUs);
  }
}
