package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Host responses that are malformed, truncated, or followed by surplus bytes. */
class InvalidResponsesTest {
  private final AtomicReference<String> response = new AtomicReference<>();
  private FakeServer host;
  private FakeServer discovery;
  private Rig rig;

  @BeforeEach
  void start() throws Exception {
    host = new FakeServer((head, out) -> FakeServer.respond(out, response.get()));
    discovery = Rig.discovery(Rig.list(2, host));
    rig = new Rig(160, discovery, host);
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
    host.close();
    discovery.close();
  }

  /** In all cases the connection stays open and the deadline is far away. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
        "HTTP/1.1 200 OK\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Half: ",
        "noise and no end of line",
      })
  void failsMalformedResponseAtOnceWithoutRetry(String malformed) throws Exception {
    response.set(malformed);
    assertThat(rig.request(Rig.dispatch(Rig.id(), ""))).startsWith("HTTP/1.1 502");
    response.set(FakeServer.ok("good"));
    assertThat(host.heads).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil", "noise", "\r\n\r\n"})
  void neverTakesSurplusBytesForNextResponse(String surplus) throws Exception {
    try (Socket client = rig.connect()) {
      for (int i = 0; i < 5; i++) {
        response.set(FakeServer.ok("good" + i) + surplus);
        Rig.send(client, Rig.dispatch(Rig.id(), ""));
        assertThat(Rig.receive(client)).startsWith("HTTP/1.1 200").endsWith("good" + i);
      }
    }
    assertThat(host.connections.get()).isEqualTo(5);
  }

  @Test
  void skipsInformationalResponses() throws Exception {
    response.set(
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
            + FakeServer.ok("good"));
    assertThat(rig.request(Rig.dispatch(Rig.id(), ""))).endsWith("good");
  }
}
