package hazelspoke.core;

import ternscale.api.Outcome.Result;

/** Asks a host for its load, once; on the loop. */
final class LoadProbe extends Deadlines.Entry implements HostCall {
  /** Told once how the probe ended. */
  interface Listener {
    /**
     * The probe ended.
     *
     * @param loadReport the report as text, empty when none came
     */
    void onProbeEnded(LoadProbe probe, Result result, String loadReport);
  }

  private static final double TIMEOUT_MS = 300;

  private final CoreServices services;
  private final Listener listener;
  private final String host;
  private final double startedAt;
  private HostTransport.CallHandle ticket;
  private boolean over;

  LoadProbe(CoreServices services, Listener listener, String host) {
    this.services = services;
    this.listener = listener;
    this.host = host;
    startedAt = services.clock().nowMs();
  }

  void start() {
    ticket = services.hosts().start(host, this);
    services.timers().add(this, TIMEOUT_MS);
  }

  String host() {
    return host;
  }

  /** Since its start, in milliseconds. */
  double elapsedMs() {
    return services.clock().nowMs() - startedAt;
  }

  @Override
  void due() {
    ticket.cancel();
    end(Result.TIMEOUT, "");
  }

  @Override
  public Request request() {
    return null;
  }

  @Override
  public boolean maySendFirstByte() {
    return true;
  }

  @Override
  public boolean maySendLastByte() {
    return true;
  }

  @Override
  public double remainingMs() {
    return TIMEOUT_MS;
  }

  @Override
  public void onSent() {}

  @Override
  public void onAnswer(Metadata metadata, String loadReport, Body answer, ByteBudget.Share share) {
    share.release();
    answer.abandon();
    end(Result.OK, loadReport);
  }

  @Override
  public void onEnd(Result result, String loadReport) {
    end(result, "");
  }

  private void end(Result result, String loadReport) {
    if (!over) {
      over = true;
      services.timers().remove(this);
      listener.onProbeEnded(this, result, loadReport);
    }
  }
}
