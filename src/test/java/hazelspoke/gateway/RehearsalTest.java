package hazelspoke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** What the build runs to learn which classes a gateway loads. */
class RehearsalTest {
  @Test
  void itRunsThroughAndEnds() {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    assertThat(Rehearsal.run(new PrintStream(err, true))).isZero();
    assertThat(err.toString()).contains("taking leave");
  }
}
