package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.EventLog.AttemptEnd;

/**
 * Receives the events that a host observes: the event log, or a channel to it from another process.
 */
public interface HostSink {
  /** Receives the end of one attempt; only the first call has an effect. */
  interface Attempt {
    void end(AttemptEnd end, double at);
  }

  Attempt received(String txn, String host, int group, double at, double earliest);

  /** Whether the gateway that sent this request was informed of the host's start. */
  boolean isStartKnownToGateway(String txn, String host);

  void failedFromOverload(String host, double at, double informedShare);
}
