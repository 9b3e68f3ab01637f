package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.net.Buffers;
import io.netty.util.ResourceLeakDetector;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Buffer leaks; every buffer of the tests is tracked. */
class LeakTest {
  private static final int ROUNDS = 30;
  private static final String BROKEN = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";

  @Test
  void leaksNoBufferHoweverRequestsEnd() throws Exception {
    List<String> answers = new ArrayList<>();
    String body = "x".repeat(60_000);
    try (FakeServer host =
            new FakeServer(
                (head, out) -> {
                  boolean bad = head.contains("bad-");
                  FakeServer.respond(out, bad ? BROKEN : FakeServer.ok(body));
                  return !bad;
                });
        FakeServer discovery = Rig.discovery(Rig.list(2, host));
        Rig rig = new Rig(160, discovery, host)) {
      assertThat(ResourceLeakDetector.getLevel()).isEqualTo(ResourceLeakDetector.Level.PARANOID);
      for (int i = 0; i < ROUNDS; i++) {
        answers.add(rig.request(Rig.dispatch(Rig.id(), "")));
        answers.add(rig.request("NONSENSE\r\n\r\n"));
        sendAndDisconnect(rig, Rig.dispatch(Rig.id(), ""));
        sendAndDisconnect(rig, Rig.dispatch(Rig.id(), "Content-Length: 50\r\n") + "half");
        sendAndDisconnect(rig, "POST /dispatch HT");
      }
      // Once, and last: a host that breaks off a response is skipped for some time.
      answers.add(rig.request(Rig.dispatch("bad-1", "")));
    }
    assertThat(answers).anyMatch(answer -> answer != null && answer.endsWith(body));
    assertThat(answers).anyMatch(answer -> answer != null && answer.startsWith("HTTP/1.1 502"));
    assertThat(answers).anyMatch(answer -> answer != null && answer.startsWith("HTTP/1.1 400"));
    findLeaks();
    assertThat(LeakLedger.LEAKS).isEmpty();
  }

  /** Guards against a detector that detects nothing. */
  @Test
  void aLostBufferIsFound() throws Exception {
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
    Buffers.ALLOCATOR.directBuffer(77);
    Rig.await(
        "the leak",
        () -> {
          findLeaks();
          return LeakLedger.LEAKS.removeIf(leak -> leak.contains("aLostBufferIsFound"));
        });
    assertThat(LeakLedger.LEAKS).isEmpty();
  }

  /** Triggers reports: Netty reports collected buffers when another one is allocated. */
  private static void findLeaks() {
    for (int i = 0; i < 5; i++) {
      System.gc();
      Buffers.ALLOCATOR.directBuffer(1).release();
    }
  }

  private static void sendAndDisconnect(Rig rig, String partialRequest) throws IOException {
    try (Socket socket = rig.connect()) {
      Rig.send(socket, partialRequest);
    }
  }
}
