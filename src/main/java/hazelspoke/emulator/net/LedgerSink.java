package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.Ledger;

/** Writes the events of hosts in the emulator's own process directly to the event log. */
public final class LedgerSink implements HostSink {
  private final Ledger ledger;

  public LedgerSink(Ledger ledger) {
    this.ledger = ledger;
  }

  @Override
  public Attempt received(String txn, String host, int group, double at, double earliest) {
    return ledger.received(txn, host, group, at, earliest)::end;
  }

  @Override
  public boolean isStartKnownToGateway(String txn, String host) {
    Ledger.Try t = ledger.find(txn);
    return t != null && ledger.told(t.gateway, host).stream().anyMatch(Ledger.Told::ready);
  }

  @Override
  public void failedFromOverload(String host, double at, double informedShare) {
    ledger.fell(host, at, informedShare);
  }
}
