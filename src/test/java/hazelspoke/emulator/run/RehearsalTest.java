package hazelspoke.emulator.run;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.judge.Rule;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.HtmlReport;
import hazelspoke.emulator.report.JsonReport;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptReader;
import hazelspoke.emulator.script.ScriptWriter;
import java.io.File;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Complete rehearsals over sockets. Checks rules and counts, never times. */
class RehearsalTest {
  /** Limits that hold on slow machines: real violations exceed them by seconds or for ever. */
  static final String WIDE =
      """
      [judge]
      slack_ms = %d
      [[class]]
      name = "reserve"
      share = 0.6
      work_ms = %d
      effect = "by_key"
      aim_ms = 10000
      deadline_ms = 20000
      window_ms = 20000
      [[class]]
      name = "dispatch"
      share = 0.4
      work_ms = %d
      aim_ms = 10000
      deadline_ms = 20000
      """;

  @TempDir Path folder;

  private Results run(String script, GatewayLauncher launcher) throws Exception {
    return run(folder, ScriptReader.read("test", script), launcher);
  }

  static Results run(Path folder, Script read, GatewayLauncher launcher) throws Exception {
    Files.writeString(folder.resolve("script.toml"), ScriptWriter.write(read));
    World world = World.draw(read, 1);
    List<String> self =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path")
                + File.pathSeparator
                + Path.of("target/classes").toAbsolutePath(),
            "hazelspoke.Main");
    return new Rehearsal(
            world,
            launcher,
            new HostProcesses(self, folder, 1),
            folder,
            new PrintStream(OutputStream.nullOutputStream()))
        .run();
  }

  static void assertSums(Results r, int asked) {
    assertThat(r.windows().stream().mapToInt(Results.Window::requested).sum()).isEqualTo(asked);
    assertThat(r.classes().values().stream().mapToInt(Results.ClassResult::requested).sum())
        .isEqualTo(asked);
    for (Results.Window w : r.windows()) {
      assertThat(w.inTime() + w.late() + w.refused() + w.failed()).isEqualTo(w.requested());
    }
  }

  /** The real gateway, in this process, under almost every kind of fault. */
  @Test
  void gatewayKeepsRulesUnderManyFaults() throws Exception {
    String script =
        """
        length_s = 8
        [fleet]
        sites = ["a", "b"]
        gateways = 3
        servers = 9
        in_process = true
        [load]
        rate = 60
        [discovery]
        notice_s = 0.2
        add_s = 0.2
        [[fault]]
        what = "freeze"
        at_s = 1
        for_s = 1
        hosts = ["s1"]
        [[fault]]
        what = "crash"
        at_s = 1.5
        for_s = 2
        hosts = ["s2"]
        [[fault]]
        what = "errors"
        at_s = 1
        for_s = 4
        from = 0
        to = 0.5
        hosts = ["s3"]
        [[fault]]
        what = "reset"
        at_s = 2
        for_s = 3
        rate = 0.5
        hosts = ["s4"]
        [[fault]]
        what = "replace"
        at_s = 3
        hosts = ["s5"]
        [[fault]]
        what = "release"
        at_s = 2.5
        for_s = 1
        hosts = ["s8"]
        [[fault]]
        what = "drain"
        at_s = 3
        for_s = 2
        hosts = ["s6"]
        [[fault]]
        what = "refuse"
        at_s = 4
        for_s = 1
        hosts = ["s7"]
        [[fault]]
        what = "discovery_moved"
        at_s = 5
        [[fault]]
        what = "gateway_kill"
        at_s = 5.5
        for_s = 1
        gateways = ["g1"]
        """
            + WIDE.formatted(5_000, 20, 20);
    Results r = run(script, new InProcessGatewayLauncher());
    assertThat(r.violations()).isEmpty();
    assertThat(r.crashes()).isZero();
    int asked = World.draw(ScriptReader.read("test", script), 1).arrivals().size();
    assertSums(r, asked);
    int served = r.classes().values().stream().mapToInt(Results.ClassResult::served).sum();
    assertThat(served).isGreaterThan(asked / 2);
    assertThat(r.attempts()).isGreaterThanOrEqualTo(served);
    assertThat(JsonReport.write(r))
        .contains("\"rules\" : {", "\"lost\" : 0", "\"classes\" : {", "\"late\" : ", "\"windows\"");
    assertThat(HtmlReport.write(r)).contains("<svg", "freeze s1 for 1.0 s").doesNotContain("http");
  }

  /** Signals to a host process have the same results as the emulated faults. */
  @Test
  void keepsRulesWhenHostProcessIsStoppedAndKilled() throws Exception {
    String script =
        """
        length_s = 6
        [fleet]
        gateways = 1
        servers = 3
        in_process = true
        apart = ["s1", "s2"]
        [load]
        rate = 30
        [discovery]
        notice_s = 0.2
        add_s = 0.2
        [[fault]]
        what = "freeze"
        at_s = 1
        for_s = 1
        hosts = ["s1"]
        [[fault]]
        what = "crash"
        at_s = 2
        for_s = 2
        hosts = ["s2"]
        """
            + WIDE.formatted(5_000, 20, 20);
    Results r = run(script, new InProcessGatewayLauncher());
    assertThat(r.violations()).isEmpty();
    assertSums(r, World.draw(ScriptReader.read("test", script), 1).arrivals().size());
    int served = r.classes().values().stream().mapToInt(Results.ClassResult::served).sum();
    assertThat(served).isPositive();
  }

  /** Each broken gateway is reported for its own violation and for nothing else. */
  @ParameterizedTest
  @EnumSource(BrokenGateway.Fault.class)
  void reportsOnlyTheViolationOfTheBrokenGateway(BrokenGateway.Fault fault) throws Exception {
    boolean cold = fault == BrokenGateway.Fault.RUSHES_COLD;
    boolean drain = fault == BrokenGateway.Fault.SENDS_TO_DRAINED;
    String more = "";
    if (cold) {
      more = "[[fault]]\nwhat = \"restart\"\nat_s = 1.5\nhosts = [\"s2\"]\n";
    } else if (drain) {
      more = "[[fault]]\nwhat = \"drain\"\nat_s = 0.2\nfor_s = 9\nhosts = [\"s2\"]\n";
    }
    String script =
        "length_s = "
            + (cold || drain ? 5 : 2)
            + "\n[fleet]\ngateways = 1\nservers = 4\n[load]\nrate = "
            + (cold ? 150 : 40)
            + "\nretries = 0\ntry_share = 1\n"
            + "[discovery]\nmode = \"pushed\"\nnotice_s = 0.1\nadd_s = 0.1\n"
            + more
            + WIDE.formatted(800, cold ? 150 : 10, cold ? 150 : 10);
    Results r = run(script, new BrokenGateway(fault));
    List<Rule> expected =
        switch (fault) {
          case NONE -> List.of();
          case DROPS_ANSWERS, ANSWERS_TWICE, MAKES_ANSWERS_UP, SENDS_AFTER_THE_END ->
              List.of(Rule.LOST);
          case SENDS_DISPATCHES_TWICE, REFUSES_WHAT_RAN -> List.of(Rule.TWICE);
          case SENDS_TO_DRAINED -> List.of(Rule.DRAIN);
          case RUSHES_COLD -> List.of(Rule.COLD);
          case MAKES_SIX_ATTEMPTS -> List.of(Rule.ATTEMPTS);
        };
    assertThat(r.rules().entrySet().stream().filter(e -> e.getValue() > 0).map(Map.Entry::getKey))
        .as(() -> String.valueOf(r.violations().stream().limit(5).toList()))
        .containsExactlyElementsOf(expected);
  }
}
