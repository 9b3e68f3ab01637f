package hazelspoke.front.http;

/** State of a client connection, in the order of eviction. */
enum ConnectionState {
  /** The last response was written; further input is discarded. */
  CLOSING,
  /** Accepted, and no bytes received. */
  FRESH,
  /** The first bytes of a request were received, and its head is incomplete. */
  HEAD,
  /** Idle between two requests. */
  IDLE,
  /** The head of a request was received, and its body is incomplete. */
  READING,
  /** A complete request awaits its response. */
  IN_HAND,
  /** A response is being written. */
  ANSWERING;

  /** Whether a request was received, at least in part, whose response is incomplete. */
  boolean isAwaitingResponse() {
    return this == HEAD || this == READING || this == IN_HAND || this == ANSWERING;
  }
}
