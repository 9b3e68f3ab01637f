package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.Clock;
import hazelspoke.core.Log;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** The training run for the class archive, and the warm-up. */
class ClassArchiveTest {
  @Test
  void completesTheTrainingRun() {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    assertThat(ClassArchive.run(new PrintStream(err, true))).isZero();
    assertThat(err.toString()).contains("taking leave");
  }

  /** The warm-up uses sockets and a full gateway, but must not contact the configured hosts. */
  @Test
  void completesTheWarmUpWithoutErrors() throws Exception {
    try (FakeServer host = new FakeServer((head, out) -> false);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host)) {
      ByteArrayOutputStream err = new ByteArrayOutputStream();
      boolean completed =
          new WarmUp(GatewayConfig.read(rig.environment), rig.environment)
              .run(new Log(new PrintStream(err, true), new Clock()), Rig.PATIENCE_MS);
      assertThat(completed).isTrue();
      assertThat(err.toString()).isEmpty();
      assertThat(host.connections.get()).isZero();
    }
  }
}
