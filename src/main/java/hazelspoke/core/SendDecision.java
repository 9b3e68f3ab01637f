package hazelspoke.core;

/** Whether bytes of a call may be written now. */
public enum SendDecision {
  SEND,

  /** What the client has sent is still being read; to be asked again after a round trip. */
  ASK_AGAIN,

  /** Not now and not later. */
  DO_NOT_SEND
}
