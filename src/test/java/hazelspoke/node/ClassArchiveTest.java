package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.Clock;
import hazelspoke.core.Log;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** What the build runs to learn which classes a gateway loads. */
class ClassArchiveTest {
  @Test
  void itRunsThroughAndEnds() {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    assertThat(ClassArchive.run(new PrintStream(err, true))).isZero();
    assertThat(err.toString()).contains("taking leave");
  }

  /** Over sockets, with all of a gateway, and with no word to the hosts that it knows. */
  @Test
  void theWarmUpGoesThroughEveryStepWithoutAFailure() throws Exception {
    try (FakeServer host = new FakeServer((head, out) -> false);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host)) {
      ByteArrayOutputStream err = new ByteArrayOutputStream();
      boolean whole =
          new WarmUp(GatewayConfig.read(rig.environment), rig.environment)
              .run(new Log(new PrintStream(err, true), new Clock()), Rig.PATIENCE_MS);
      assertThat(whole).isTrue();
      assertThat(err.toString()).isEmpty();
      assertThat(host.connections.get()).isZero();
    }
  }
}
