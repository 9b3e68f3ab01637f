package hazelspoke.core;

import ternscale.api.Outcome.Result;

/** Requests a host's load report once. Confined to the event loop. */
final class LoadProbe extends DeadlineQueue.Entry implements HostCall {
  /** Notified once of the end of the probe. */
  interface Listener {
    /**
     * The probe has ended.
     *
     * @param loadReport the report as text, empty if none was received
     */
    void onProbeEnded(LoadProbe probe, Result result, String loadReport);
  }

  private static final double TIMEOUT_MS = 300;

  private final CoreServices services;
  private final Listener listener;
  private final String host;
  private final double startedAtMs;
  private HostTransport.CallHandle callHandle;
  private boolean ended;

  LoadProbe(CoreServices services, Listener listener, String host) {
    this.services = services;
    this.listener = listener;
    this.host = host;
    startedAtMs = services.clock().nowMs();
  }

  void start() {
    callHandle = services.hosts().start(host, this);
    services.timers().add(this, TIMEOUT_MS);
  }

  String host() {
    return host;
  }

  /** The time since the start, in milliseconds. */
  double elapsedMs() {
    return services.clock().nowMs() - startedAtMs;
  }

  @Override
  void onDue() {
    callHandle.cancel();
    end(Result.TIMEOUT, "");
  }

  @Override
  public Request request() {
    return null;
  }

  @Override
  public SendDecision maySend() {
    return SendDecision.SEND;
  }

  @Override
  public double remainingMs() {
    return TIMEOUT_MS;
  }

  @Override
  public void onSent() {}

  @Override
  public void onAnswer(Metadata metadata, String loadReport, Body body, ByteBudget.Share share) {
    share.release();
    body.abandon();
    end(Result.OK, loadReport);
  }

  @Override
  public void onEnd(Result result, String loadReport) {
    end(result, "");
  }

  private void end(Result result, String loadReport) {
    if (!ended) {
      ended = true;
      services.timers().remove(this);
      listener.onProbeEnded(this, result, loadReport);
    }
  }
}
