package hazelspoke.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import ternscale.api.Actions;
import ternscale.api.Balancer;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.policy.LcStarBalancer;

/**
 * Takes many requests through reading, deciding and writing before the first client comes, on no
 * socket and with a module of its own: code that runs for the first time takes many times the CPU,
 * and with half a core the first seconds of traffic would wait for it. A restart takes that much
 * longer, while others carry its share.
 */
final class WarmUp {
  private static final int MOST_REQUESTS = 4_000;
  private static final double MOST_MS = 1_200;

  private final GatewayConfig config;
  private final Clock clock = new Clock();

  WarmUp(GatewayConfig config) {
    this.config = config;
  }

  /** Never keeps a gateway from starting: it is of use, not of need. */
  void run(Log log) {
    try {
      run();
    } catch (RuntimeException e) {
      log.failure("the warm-up failed", e);
    }
  }

  private void run() {
    NoActions chosen = new NoActions();
    Balancer module = new LcStarBalancer(config.settings(), 1, clock.nowMs(), chosen);
    module.onMembers(
        clock.nowMs(),
        new MembersUpdate(
            MembersUpdate.Kind.CACHED,
            1,
            config.known().hosts().stream().map(HostList.Listed::entry).toList()));
    EmbeddedChannel clients =
        new EmbeddedChannel(new StrictRequestDecoder(Buffers.decoderConfig()));
    EmbeddedChannel hosts =
        new EmbeddedChannel(
            new StrictResponseDecoder(Buffers.decoderConfig()), new HttpRequestEncoder());
    double end = clock.nowMs() + MOST_MS;
    for (int i = 0; i < MOST_REQUESTS && clock.nowMs() < end; i++) {
      HttpRequest head = pass(clients, hosts, i % config.names().classes().size());
      decide(module, chosen, head, i);
    }
    clients.finishAndReleaseAll();
    hosts.finishAndReleaseAll();
  }

  /** A request in from a client and out to a host, and an answer in. */
  private HttpRequest pass(EmbeddedChannel clients, EmbeddedChannel hosts, int requestClass) {
    boolean keyed =
        config.settings().classes().get(requestClass).effect() == Settings.Effect.BY_KEY;
    String name = config.names().classes().get(requestClass);
    clients.writeInbound(
        bytes(
            "POST /%s HTTP/1.1\r\nHost: x\r\nX-Lane: %s\r\nX-Txn: w\r\nX-Remaining: 0.5\r\n%s\r\n"
                .formatted(name, name, keyed ? "Idempotency-Key: w\r\n" : "")));
    HttpRequest request = clients.readInbound();
    ReferenceCountUtil.release(clients.readInbound());
    hosts.writeOutbound(request, LastHttpContent.EMPTY_LAST_CONTENT);
    hosts.releaseOutbound();
    hosts.writeInbound(bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    hosts.releaseInbound();
    return request;
  }

  private void decide(Balancer module, NoActions chosen, HttpRequest request, int number) {
    double now = clock.nowMs();
    String id = Integer.toString(number);
    try {
      RequestHead head = RequestHead.read(request, config.names(), config.settings());
      chosen.host = null;
      module.onRequest(
          now,
          new RequestInfo(
              id, head.requestClass(), 0, now + head.remainingMs(), 10, "w", true, false));
    } catch (BadRequestException e) {
      // A class that is not asked for by POST.
      return;
    }
    if (chosen.host != null) {
      module.onOutcome(now, new Outcome(id, chosen.host, 0, Outcome.Result.OK, 1, true, List.of()));
    }
  }

  private static Object bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  /** Does nothing that the module asks for, and notes where it would have sent. */
  private static final class NoActions implements Actions {
    private String host;

    @Override
    public void send(String requestId, String to, double timeoutMs) {
      host = to;
    }

    @Override
    public void refuse(String requestId, double retryAfterMs) {}

    @Override
    public void fail(String requestId) {}

    @Override
    public void cancel(String requestId, int attempt) {}

    @Override
    public void probe(String to) {}

    @Override
    public void closeIdle(String to) {}

    @Override
    public void setTimer(long timer, double delayMs) {}

    @Override
    public void lookup() {}

    @Override
    public void watch(boolean on) {}

    @Override
    public void tellPeer(int peer, String data) {}

    @Override
    public void log(String line) {}
  }
}
