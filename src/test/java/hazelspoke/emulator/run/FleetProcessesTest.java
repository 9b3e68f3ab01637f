package hazelspoke.emulator.run;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptReader;
import hazelspoke.emulator.torment.FaultGenerator;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Five gateway processes share a record, with faults between any two of them, while clients send
 * requests and read and write notes. Checks rules, counts and client results, never times.
 */
class FleetProcessesTest {
  private static final String FLEET =
      """
      length_s = %d
      [fleet]
      gateways = 5
      servers = 4
      voters = %d
      [load]
      rate = 30
      [discovery]
      notice_s = 0.2
      add_s = 0.2
      """;

  @TempDir Path folder;

  private Results run(Script script) throws Exception {
    Results r = RehearsalTest.run(folder, script, TormentTest.processes());
    assertThat(r.violations()).isEmpty();
    assertThat(r.crashes()).isZero();
    int asked = r.classes().values().stream().mapToInt(Results.ClassResult::requested).sum();
    int served = r.classes().values().stream().mapToInt(Results.ClassResult::served).sum();
    assertThat(served).isGreaterThan(asked / 2);
    return r;
  }

  private static Script read(int seconds, int voters, String more) throws Exception {
    return ScriptReader.read(
        "test",
        FLEET.formatted(seconds, voters) + RehearsalTest.WIDE.formatted(5_000, 20, 20) + more);
  }

  @ParameterizedTest
  @ValueSource(longs = {5, 8})
  void keepsRecordAndRulesUnderGeneratedFaults(long seed) throws Exception {
    Script fleet = read(24, 5, "");
    Results r = run(fleet.withFaults(FaultGenerator.generate(fleet, seed)));
    assertThat(r.record().writes()).isGreaterThan(20);
    assertThat(r.record().reads()).isPositive();
  }

  /** Voters are stopped, then partitioned, and finally all killed. */
  @Test
  void survivesFaultsInSequenceAndLossOfAllVoters() throws Exception {
    String faults =
        fault("gateway_stop", 2, 5, "gateways = [\"g1\", \"g2\"]")
            + fault("link_silent", 8, 4, "from = [\"g1\", \"g2\"]\nto = [\"g3\", \"g4\", \"g5\"]")
            + fault("link_cut", 13, 3, "from = [\"g3\"]\nto = [\"g1\", \"g2\", \"g4\", \"g5\"]")
            + fault("gateway_kill", 18, 1, "gateways = [\"g1\", \"g2\", \"g3\"]");
    Results r = run(read(34, 3, faults));
    assertThat(r.record().writes()).isGreaterThan(40);
  }

  /** A full disk, a torn write, a lost disk and a flipped bit, each at a voter. */
  @Test
  void replacesVotersAfterDiskFaults() throws Exception {
    String faults =
        fault("disk_full", 2, 5, "gateways = [\"g1\"]")
            + fault("disk_torn", 9, 1, "gateways = [\"g2\"]")
            + fault("disk_lost", 12, 1, "gateways = [\"g3\"]")
            + fault("disk_flipped", 26, 1, "gateways = [\"g2\"]");
    Results r = run(read(44, 3, faults));
    assertThat(r.record().writes()).isGreaterThan(40);
    assertThat(r.record().replacedDisks()).isEqualTo(2);
  }

  private static String fault(String what, int at, int length, String subjects) {
    return "[[fault]]\nwhat = \"%s\"\nat_s = %d\nfor_s = %d\n%s\n"
        .formatted(what, at, length, subjects);
  }
}
