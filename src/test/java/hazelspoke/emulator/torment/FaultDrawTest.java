package hazelspoke.emulator.torment;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Fault.Kind;
import hazelspoke.emulator.script.Fault.Subject;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptReader;
import hazelspoke.emulator.script.ScriptWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class FaultDrawTest {
  private static Script script() throws Exception {
    return ScriptReader.read(
        "test", "length_s = 30\n[fleet]\ngateways = 4\nservers = 6\n[load]\nrate = 10\n");
  }

  @Test
  void eachProcessHasOneFaultAtATimeAndTheLastPartIsCalm() throws Exception {
    Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    for (long seed = 0; seed < 1_000; seed++) {
      List<Fault> faults = FaultDraw.draw(script(), seed);
      assertThat(faults).isEqualTo(FaultDraw.draw(script(), seed));
      Map<String, Double> free = new HashMap<>();
      double last = 0;
      for (Fault f : faults) {
        kinds.add(f.kind());
        assertThat(f.atMs()).isGreaterThanOrEqualTo(last);
        last = f.atMs();
        assertThat(f.endMs()).isLessThanOrEqualTo(30_000 * (1 - FaultDraw.CALM_PART));
        if (f.kind() == Kind.GATEWAY_PAUSE) {
          // Short enough for every rule to hold, and meant to strike one that is ending as well.
          assertThat(f.forMs()).isBetween(50.0, 150.0);
        } else if (f.kind().subject() != Subject.LINKS) {
          String process = f.target().names().get(0);
          assertThat(f.atMs()).isGreaterThanOrEqualTo(free.getOrDefault(process, 0.0));
          free.put(process, f.endMs());
        }
      }
    }
    assertThat(kinds).hasSize(18);
  }

  /** What bears the loss of one disk loses no second one before somebody can have replaced it. */
  @Test
  void whereGatewaysShareARecordDisksAreStruckAndOneIsLostAtMost() throws Exception {
    Script script =
        ScriptReader.read(
            "test",
            "length_s = 60\n[fleet]\ngateways = 5\nservers = 6\nvoters = 3\n[load]\nrate = 10\n");
    Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    for (long seed = 0; seed < 300; seed++) {
      List<Kind> drawn = FaultDraw.draw(script, seed).stream().map(Fault::kind).toList();
      assertThat(drawn.stream().filter(Kind::losesVote)).hasSizeLessThan(2);
      kinds.addAll(drawn);
    }
    assertThat(kinds.stream().filter(Kind::affectsDisk)).hasSize(4);
  }

  /** A script that is printed is the one that was played. */
  @Test
  void whatIsWrittenIsReadAsTheSame() throws Exception {
    List<Script> scripts = new ArrayList<>();
    try (Stream<Path> files = Files.list(Path.of("rehearsals"))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".toml")).toList()) {
        scripts.add(ScriptReader.read(file.toString(), Files.readString(file)));
      }
    }
    assertThat(scripts).hasSizeGreaterThan(10);
    for (long seed = 0; seed < 200; seed++) {
      scripts.add(script().withFaults(FaultDraw.draw(script(), seed)));
    }
    for (Script s : scripts) {
      String text = ScriptWriter.write(s);
      assertThat(unplaced(ScriptReader.read(text, text))).as(text).isEqualTo(unplaced(s));
    }
  }

  /** Without the lines, which are others in another text. */
  private static Script unplaced(Script s) {
    return s.withFaults(
        s.faults().stream()
            .map(
                f ->
                    new Fault(
                        f.kind(),
                        f.atMs(),
                        f.forMs(),
                        f.target(),
                        f.factor(),
                        f.from(),
                        f.to(),
                        f.silent(),
                        f.every(),
                        f.requestClass(),
                        0))
            .toList());
  }
}
