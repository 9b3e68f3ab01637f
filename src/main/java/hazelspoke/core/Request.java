package hazelspoke.core;

import ternscale.api.Settings.Effect;

/**
 * A client's request, independent of the protocol.
 *
 * @param txn the client-assigned id; unique among open requests
 * @param requestClass the index of its class
 * @param effect the effect of executing the request a second time
 * @param tenant the index of its tenant in the settings, or the index after the last if unknown
 * @param remainingMs the time until the client's deadline, counted from when the request was ready
 *     to be read
 * @param costHintMs the estimated work in milliseconds on a standard core; 0 if unknown
 * @param entity the entity that the request concerns, or null
 * @param resent whether the client declares this to be a retry
 * @param target the path and query of HTTP
 * @param metadata the metadata forwarded to the host
 * @param body the body; only the front end appends to it, and only before handing the request over
 */
public record Request(
    String txn,
    int requestClass,
    Effect effect,
    int tenant,
    double remainingMs,
    double costHintMs,
    String entity,
    boolean resent,
    String target,
    Metadata metadata,
    Body body) {
  /** The memory held by the head and the buffered part of the body, in bytes. */
  public long heldBytes() {
    return target.length() + metadata.heldBytes() + body.heldBytes();
  }
}
