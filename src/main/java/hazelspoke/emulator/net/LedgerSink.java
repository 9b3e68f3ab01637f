package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.Ledger;

/** Hosts in the emulator's own process write into the ledger itself. */
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
  public void fell(String host, double at, double toldShare) {
    ledger.fell(host, at, toldShare);
  }
}
