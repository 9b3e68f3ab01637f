package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.EventLog.AttemptEnd;

/** Where a host tells what it saw: the ledger, or the way to it from another process. */
public interface HostSink {
  /** Told how one attempt ended, at most once to any effect. */
  interface Attempt {
    void end(AttemptEnd end, double at);
  }

  Attempt received(String txn, String host, int group, double at, double earliest);

  /** Whether the gateway that asks this knows of the start of a host. */
  boolean isStartKnownToGateway(String txn, String host);

  void fell(String host, double at, double toldShare);
}
