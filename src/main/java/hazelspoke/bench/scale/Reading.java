package hazelspoke.bench.scale;

/**
 * State and resource usage of a voter process at one moment.
 *
 * @param isReady whether it has joined and has a valid lease
 * @param index last record index that it knows
 * @param cpuNanos processor time of its event loop since the start
 * @param heapBytes used heap, including garbage that is not yet collected
 * @param receivedBytes bytes received from other members
 * @param sentBytes bytes sent to other members
 * @param elections number of elections that it has won
 */
record Reading(
    boolean isReady,
    boolean isLeader,
    long index,
    long cpuNanos,
    long heapBytes,
    long receivedBytes,
    long sentBytes,
    long descriptors,
    long elections) {
  String text() {
    return isReady
        + " "
        + isLeader
        + " "
        + index
        + " "
        + cpuNanos
        + " "
        + heapBytes
        + " "
        + receivedBytes
        + " "
        + sentBytes
        + " "
        + descriptors
        + " "
        + elections;
  }

  static Reading parse(String text) {
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
