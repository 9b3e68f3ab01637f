package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.EventLog;

/** Writes the events of hosts in the emulator's own process directly to the event log. */
public final class LedgerSink implements HostSink {
  private final EventLog ledger;

  public LedgerSink(EventLog ledger) {
    this.ledger = ledger;
  }

  @Override
  public Attempt received(String txn, String host, int group, double at, double earliest) {
    return ledger.received(txn, host, group, at, earliest)::end;
  }

  @Override
  public boolean isStartKnownToGateway(String txn, String host) {
    EventLog.ClientAttempt t = ledger.find(txn);
    return t != null
        && ledger.notifications(t.gateway, host).stream()
            .anyMatch(EventLog.HostNotification::ready);
  }

  @Override
  public void failedFromOverload(String host, double at, double informedShare) {
    ledger.overloaded(host, at, informedShare);
  }
}
