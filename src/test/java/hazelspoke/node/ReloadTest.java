package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** New configurations while the gateway runs, and bad ones at its start. */
class ReloadTest {
  @Test
  void discoveryMovesAndBrokenFilesChangeNothing() throws Exception {
    try (FakeServer first = new FakeServer((h, out) -> FakeServer.answer(out, FakeServer.ok("1")));
        FakeServer second = new FakeServer((h, out) -> FakeServer.answer(out, FakeServer.ok("2")));
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
      assertThat(rig.ask(Rig.dispatch(Rig.id(), ""))).endsWith("1");
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

  private static String served(Rig rig) {
    try {
      return rig.ask(Rig.dispatch(Rig.id(), ""));
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Test
  void aBadConfigurationAtTheStartGetsOneLineAndStatusOne() {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = Gateway.serve(Map.of("NODE_CONFIG", "/nowhere/config.json"), new PrintStream(err));
    assertThat(status).isEqualTo(1);
    assertThat(err.toString().lines()).hasSize(1);
  }
}
