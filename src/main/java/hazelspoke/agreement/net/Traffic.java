package hazelspoke.agreement.net;

/**
 * Bytes of frames since the start, their lengths' four bytes each included.
 *
 * @param in that came
 * @param out that were handed to the system, or wait to be
 */
public record Traffic(long in, long out) {}
