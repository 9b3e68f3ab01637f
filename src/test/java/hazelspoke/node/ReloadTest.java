package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** New configurations while the gateway runs, and bad ones at its start. */
class ReloadTest {
  @Test
  void discoveryMovesAndBrokenFilesChangeNothing() throws Exception {
    try (FakeServer first =
            new FakeServer((h, out) -> FakeServer.respond(out, FakeServer.ok("1")));
        FakeServer second =
            new FakeServer((h, out) -> FakeServer.respond(out, FakeServer.ok("2")));
        FakeServer before = Rig.discovery(Rig.list(7, first));
        FakeServer after = Rig.discovery(Rig.list(3, second));
        Rig rig = new Rig(160, before, first)) {
      Rig.await("the first watch", () -> before.heads.size() == 1);
      for (String broken : new String[] {"", "{", "[]", "{\"discovery\":7}"}) {
        rig.configure(broken);
        rig.gateway.reload(rig.environment);
      }
      Files.delete(rig.file);
      rig.gateway.reload(rig.environment);
      assertThat(rig.request(Rig.dispatch(Rig.id(), ""))).endsWith("1");
      assertThat(after.heads).isEmpty();
      rig.configure(rig.config(160, after.address()));
      rig.gateway.reload(rig.environment);
      rig.gateway.reload(rig.environment);
      Rig.await("a watch of the new list", () -> after.heads.size() == 1);
      assertThat(after.heads.get(0)).contains("watch=1&from=0 ");
      Rig.await("the new list's host", () -> served(rig).endsWith("2"));
      assertThat(after.heads).hasSize(1);
    }
  }

  private static final String SOMETHING = "X-Remaining: 20.0\r\n\r\n";

  private static String post(String name, String more) {
    return "POST /%s HTTP/1.1\r\nHost: x\r\nX-Lane: %s\r\nX-Txn: %s\r\n%s%s"
        .formatted(name, name, Rig.id(), more, SOMETHING);
  }

  @Test
  void classesComeAndGoWhileRequestsOfTheOldOnesAreOpen() throws Exception {
    CountDownLatch goOn = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", goOn);
        FakeServer discovery = Rig.discovery(Rig.list(7, host));
        Rig rig = new Rig(160, discovery, host);
        Socket waiting = rig.connect()) {
      assertThat(rig.request(post("haul", ""))).contains(" 404 ");
      Rig.send(waiting, post("dispatch", "").replace("/dispatch ", "/dispatch/wait "));
      Rig.await("the host has it", () -> !host.heads.isEmpty());
      String before = rig.config(160, discovery.address());
      // Dispatch is dropped, haul is new, and look is asked for with a key from now on.
      rig.configure(
          before
              .replace("\"dispatch\"", "\"haul\"")
              .replace("\"repeatable\"", "\"by_key\"")
              .replace("\"send_cap\":5", "\"send_cap\":2"));
      rig.gateway.reload(rig.environment);
      Rig.await("the file is taken", () -> rig.metric("loads") == 1);
      assertThat(rig.request(post("haul", ""))).contains(" 200 ");
      assertThat(rig.request(post("look", "Idempotency-Key: k1\r\n"))).contains(" 200 ");
      // Who has not heard yet is served as before, and then no more.
      assertThat(rig.request(post("dispatch", ""))).contains(" 200 ");
      String look = post("look", "").replace("POST", "GET");
      assertThat(rig.request(look)).contains(" 200 ");
      Rig.await("dispatch is gone", () -> ask(rig, post("dispatch", "")).contains(" 404 "));
      assertThat(rig.request(post("look", "").replace("POST", "GET"))).contains(" 405 ");
      goOn.countDown();
      assertThat(Rig.receive(waiting)).contains(" 200 ");
      assertThat(rig.metric("passed.haul")).isEqualTo(1);
      assertThat(rig.metric("in_progress")).isZero();
      rig.configure(before);
      rig.gateway.reload(rig.environment);
      Rig.await("the first file again", () -> rig.metric("loads") == 2);
      assertThat(rig.request(post("dispatch", ""))).contains(" 200 ");
    }
  }

  @Test
  void filesThatAreNotWholeOrMakeNoSenseAreTurnedDownAndChangeNothing() throws Exception {
    try (FakeServer host =
            new FakeServer((h, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(7, host));
        FakeServer elsewhere = Rig.discovery(Rig.list(3));
        Rig rig = new Rig(160, discovery, host)) {
      Rig.await("the first watch", () -> discovery.heads.size() == 1);
      String good = rig.config(160, elsewhere.address()).replace("\"dispatch\"", "\"haul\"");
      List<String> bad =
          List.of(
              "",
              good.substring(0, good.length() / 2),
              good.replace("\"send_cap\":5,", ""),
              good.replace("\"hard_limit\":20000,", ""),
              good.replace("\"name\":\"haul\",", ""),
              good.replace("\"rules\"", "\"rulez\""),
              good.replace("\"send_cap\":5", "\"send_cap\":0"),
              good.replace("\"send_cap\":5", "\"send_cap\":-1"),
              good.replace("\"send_cap\":5", "\"send_cap\":\"many\""),
              good.replace("\"send_cap\":5", "\"send_cap\":null"),
              good.replace("\"hard_limit\":20000", "\"hard_limit\":0"),
              good.replace("\"hard_limit\":20000", "\"hard_limit\":1e999"),
              good.replace("\"hard_limit\":20000", "\"hard_limit\":\"soon\""),
              good.replace("\"haul\"", "\"look\""));
      for (String file : bad) {
        assertThat(file).isNotEqualTo(good);
        rig.configure(file);
        rig.gateway.reload(rig.environment);
        long turnedDown = bad.indexOf(file) + 1;
        Rig.await("turned down: " + file, () -> rig.metric("load_errors") == turnedDown);
      }
      assertThat(rig.metric("loads")).isZero();
      assertThat(rig.request(post("haul", ""))).contains(" 404 ");
      assertThat(rig.request(post("dispatch", ""))).contains(" 200 ");
      assertThat(elsewhere.heads).isEmpty();
      assertThat(rig.log.toString().lines().filter(l -> l.contains("kept the old"))).isNotEmpty();
    }
  }

  private static String ask(Rig rig, String request) {
    try {
      return rig.request(request);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String served(Rig rig) {
    return ask(rig, Rig.dispatch(Rig.id(), ""));
  }

  @Test
  void aBadConfigurationAtTheStartGetsOneLineAndStatusOne() {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = Gateway.serve(Map.of("NODE_CONFIG", "/nowhere/config.json"), new PrintStream(err));
    assertThat(status).isEqualTo(1);
    assertThat(err.toString().lines()).hasSize(1);
  }
}
