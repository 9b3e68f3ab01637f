package hazelspoke.agreement.net;

/**
 * Bytes of frames since the start, including the four-byte length prefix of each.
 *
 * @param receivedBytes bytes received
 * @param sentBytes bytes sent or queued for sending
 */
public record Traffic(long receivedBytes, long sentBytes) {}
