package hazelspoke.agreement.net;

/**
 * Bytes of frames since the start, their lengths' four bytes each included.
 *
 * @param receivedBytes that came
 * @param sentBytes that were handed to the system, or wait to be
 */
public record Traffic(long receivedBytes, long sentBytes) {}
