package hazelspoke.core;

/** Whose action a connection needs next. */
public enum Awaited {
  /** Its peer has to send. */
  PEER_TO_SEND,

  /** Its peer has to read what was written. */
  PEER_TO_READ,

  /** The connection at the other end of this request has to send or to read. */
  OTHER_SIDE,

  /** Memory has to become free in this process. */
  ROOM
}
