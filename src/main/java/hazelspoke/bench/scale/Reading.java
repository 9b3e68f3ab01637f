package hazelspoke.bench.scale;

/**
 * How a voter's process is at one moment.
 *
 * @param well whether it has joined and holds
 * @param index up to which it knows the record
 * @param cpuNanos processor time of its loop since the start
 * @param heapBytes used, with what nobody needs any more
 * @param in bytes that came from other members
 * @param out bytes that went to them
 * @param elections that it has won
 */
record Reading(
    boolean well,
    boolean leads,
    long index,
    long cpuNanos,
    long heapBytes,
    long in,
    long out,
    long descriptors,
    long elections) {
  String text() {
    return well
        + " "
        + leads
        + " "
        + index
        + " "
        + cpuNanos
        + " "
        + heapBytes
        + " "
        + in
        + " "
        + out
        + " "
        + descriptors
        + " "
        + elections;
  }

  static Reading read(String text) {
    String[] parts = text.trim().split(" ");
    return new Reading(
        Boolean.parseBoolean(parts[0]),
        Boolean.parseBoolean(parts[1]),
        Long.parseLong(parts[2]),
        Long.parseLong(parts[3]),
        Long.parseLong(parts[4]),
        Long.parseLong(parts[5]),
        Long.parseLong(parts[6]),
        Long.parseLong(parts[7]),
        Long.parseLong(parts[8]));
  }
}
