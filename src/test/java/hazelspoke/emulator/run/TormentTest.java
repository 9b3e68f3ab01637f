package hazelspoke.emulator.run;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.judge.Rule;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.HtmlReport;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptReader;
import hazelspoke.emulator.torment.FaultGenerator;
import java.io.File;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fault injection between processes. Checks rules and counts, never times. */
class TormentTest {
  @TempDir Path folder;

  /** Runs the program as deployed, but from the class folder. */
  static GatewayLauncher processes() {
    String classes =
        System.getProperty("java.class.path")
            + File.pathSeparator
            + Path.of("target/classes").toAbsolutePath();
    return new ProcessGatewayLauncher(
        Path.of("."),
        "exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx56m -cp '"
            + classes
            + "' hazelspoke.Main serve",
        1_024);
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 11})
  void threeProcessesKeepRulesUnderGeneratedFaults(long seed) throws Exception {
    Script fleet =
        ScriptReader.read(
            "test",
            """
            length_s = 14
            [fleet]
            sites = ["a", "b"]
            gateways = 3
            servers = 6
            [load]
            rate = 50
            [discovery]
            notice_s = 0.2
            add_s = 0.2
            """
                + RehearsalTest.WIDE.formatted(5_000, 20, 20));
    Script script = fleet.withFaults(FaultGenerator.generate(fleet, seed));
    Results r = RehearsalTest.run(folder, script, processes());
    assertThat(r.violations()).isEmpty();
    assertThat(r.crashes()).isZero();
    RehearsalTest.assertSums(r, World.draw(script, 1).arrivals().size());
    int asked = r.classes().values().stream().mapToInt(Results.ClassResult::requested).sum();
    int served = r.classes().values().stream().mapToInt(Results.ClassResult::served).sum();
    assertThat(served).isGreaterThan(asked / 2);
    assertThat(HtmlReport.write(r)).contains("Each process").contains("g3");
  }

  /**
   * A request that a slow link delivers after the drain's grace must not count as a violation, as
   * it was sent in time.
   */
  @Test
  void requestOnSlowLinkIsCheckedByItsSendTime() throws Exception {
    String script =
        """
        length_s = 4
        [fleet]
        gateways = 1
        servers = 3
        [load]
        rate = 60
        retries = 0
        try_share = 1
        [discovery]
        mode = "pushed"
        notice_s = 0.8
        add_s = 0.1
        [[fault]]
        what = "link_slow"
        at_s = 0.1
        for_s = 9
        delay_ms = 2500
        to = ["s2"]
        [[fault]]
        what = "drain"
        at_s = 0.2
        for_s = 9
        hosts = ["s2"]
        """
            + RehearsalTest.WIDE.formatted(300, 10, 10);
    Results r =
        RehearsalTest.run(
            folder, ScriptReader.read("test", script), new BrokenGateway(BrokenGateway.Fault.NONE));
    assertThat(r.violations()).isEmpty();
  }

  /** The events visible through relays suffice to report a violation. */
  @ParameterizedTest
  @CsvSource({
    "DROPS_ANSWERS, LOST",
    "MAKES_ANSWERS_UP, LOST",
    "SENDS_DISPATCHES_TWICE, TWICE",
    "REFUSES_WHAT_RAN, TWICE",
    "SENDS_TO_DRAINED, DRAIN"
  })
  void reportsViolationsOfBrokenGatewayBehindRelays(BrokenGateway.Fault fault, Rule rule)
      throws Exception {
    String script =
        """
        length_s = 4
        [fleet]
        gateways = 1
        servers = 4
        [load]
        rate = 40
        retries = 0
        try_share = 1
        [discovery]
        mode = "pushed"
        notice_s = 0.1
        add_s = 0.1
        [[fault]]
        what = "link_slow"
        at_s = 0.1
        for_s = 2
        delay_ms = 20
        to = ["s1"]
        [[fault]]
        what = "drain"
        at_s = 0.2
        for_s = 9
        hosts = ["s2"]
        """
            + RehearsalTest.WIDE.formatted(800, 10, 10);
    Results r =
        RehearsalTest.run(folder, ScriptReader.read("test", script), new BrokenGateway(fault));
    assertThat(r.rules().entrySet().stream().filter(e -> e.getValue() > 0).map(Map.Entry::getKey))
        .containsExactly(rule);
  }
}
