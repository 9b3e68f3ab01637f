package hazelspoke.agreement.net;

/**
 * Bytes of all frames since the start, including each frame's length prefix of four bytes.
 *
 * @param receivedBytes bytes received
 * @param sentBytes bytes sent or queued for sending
 */
public record Traffic(long receivedBytes, long sentBytes) {}
