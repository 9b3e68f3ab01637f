package hazelspoke.emulator.model;

/**
 * One planned request of the load.
 *
 * @param number sequence number from 0, in sending order
 * @param atMs planned send time, from the start of the load
 * @param site index of the client's site
 * @param requestClass index of its request class
 * @param key the entity that it refers to
 * @param workMs on a core of speed 1, before the noise of each attempt
 * @param hintUs the client's estimate of the work, in microseconds
 */
public record Arrival(
    int number, double atMs, int site, int requestClass, int key, double workMs, long hintUs) {
  /** Returns a copy sent later by {@code byMs} milliseconds. */
  public Arrival later(double byMs) {
    return new Arrival(number, atMs + byMs, site, requestClass, key, workMs, hintUs);
  }
}
