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

/** Reloads of the configuration, and invalid configurations at the start. */
class ReloadTest {
  @Test
  void movesDiscoveryAndIgnoresInvalidFiles() throws Exception {
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
      Rig.await("the new list's host", () -> responseToDispatch(rig).endsWith("2"));
      assertThat(after.heads).hasSize(1);
    }
  }

  private static final String HEAD_END = "X-Remaining: 20.0\r\n\r\n";

  private static String post(String name, String more) {
    return "POST /%s HTTP/1.1\r\nHost: x\r\nX-Lane: %s\r\nX-Txn: %s\r\n%s%s"
        .formatted(name, name, Rig.id(), more, HEAD_END);
  }

  @Test
  void replacesClassesWhileRequestsOfTheOldOnesArePending() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", release);
        FakeServer discovery = Rig.discovery(Rig.list(7, host));
        Rig rig = new Rig(160, discovery, host);
        Socket waiting = rig.connect()) {
      assertThat(rig.request(post("haul", ""))).contains(" 404 ");
      Rig.send(waiting, post("dispatch", "").replace("/dispatch ", "/dispatch/wait "));
      Rig.await("the host has it", () -> !host.heads.isEmpty());
      String before = rig.config(160, discovery.address());
      // Removes dispatch, adds haul, and makes look require an idempotency key.
      rig.configure(
          before
              .replace("\"dispatch\"", "\"haul\"")
              .replace("\"repeatable\"", "\"by_key\"")
              .replace("\"send_cap\":5", "\"send_cap\":2"));
      rig.gateway.reload(rig.environment);
      Rig.await("the file is applied", () -> rig.metric("loads") == 1);
      assertThat(rig.request(post("haul", ""))).contains(" 200 ");
      assertThat(rig.request(post("look", "Idempotency-Key: k1\r\n"))).contains(" 200 ");
      // Clients that have not noticed the change are served as before for a while.
      assertThat(rig.request(post("dispatch", ""))).contains(" 200 ");
      String look = post("look", "").replace("POST", "GET");
      assertThat(rig.request(look)).contains(" 200 ");
      Rig.await(
          "dispatch is removed",
          () -> requestUnchecked(rig, post("dispatch", "")).contains(" 404 "));
      assertThat(rig.request(post("look", "").replace("POST", "GET"))).contains(" 405 ");
      release.countDown();
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
  void rejectsIncompleteAndInvalidFilesWithoutAnyChange() throws Exception {
    try (FakeServer host =
            new FakeServer((h, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(7, host));
        FakeServer elsewhere = Rig.discovery(Rig.list(3));
        Rig rig = new Rig(160, discovery, host)) {
      Rig.await("the first watch", () -> discovery.heads.size() == 1);
      String valid = rig.config(160, elsewhere.address()).replace("\"dispatch\"", "\"haul\"");
      List<String> invalid =
          List.of(
              "",
              valid.substring(0, valid.length() / 2),
              valid.replace("\"send_cap\":5,", ""),
              valid.replace("\"hard_limit\":20000,", ""),
              valid.replace("\"name\":\"haul\",", ""),
              valid.replace("\"rules\"", "\"rulez\""),
              valid.replace("\"send_cap\":5", "\"send_cap\":0"),
              valid.replace("\"send_cap\":5", "\"send_cap\":-1"),
              valid.replace("\"send_cap\":5", "\"send_cap\":\"many\""),
              valid.replace("\"send_cap\":5", "\"send_cap\":null"),
              valid.replace("\"hard_limit\":20000", "\"hard_limit\":0"),
              valid.replace("\"hard_limit\":20000", "\"hard_limit\":1e999"),
              valid.replace("\"hard_limit\":20000", "\"hard_limit\":\"soon\""),
              valid.replace("\"haul\"", "\"look\""));
      for (String file : invalid) {
        assertThat(file).isNotEqualTo(valid);
        rig.configure(file);
        rig.gateway.reload(rig.environment);
        long rejected = invalid.indexOf(file) + 1;
        Rig.await("rejected: " + file, () -> rig.metric("load_errors") == rejected);
      }
      assertThat(rig.metric("loads")).isZero();
      assertThat(rig.request(post("haul", ""))).contains(" 404 ");
      assertThat(rig.request(post("dispatch", ""))).contains(" 200 ");
      assertThat(elsewhere.heads).isEmpty();
      assertThat(rig.log.toString().lines().filter(l -> l.contains("kept the old"))).isNotEmpty();
    }
  }

  private static String requestUnchecked(Rig rig, String request) {
    try {
      return rig.request(request);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String responseToDispatch(Rig rig) {
    return requestUnchecked(rig, Rig.dispatch(Rig.id(), ""));
  }

  @Test
  void invalidConfigurationAtTheStartPrintsOneLineAndReturnsOne() {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = Gateway.serve(Map.of("NODE_CONFIG", "/nowhere/config.json"), new PrintStream(err));
    assertThat(status).isEqualTo(1);
    assertThat(err.toString().lines()).hasSize(1);
  }
}
