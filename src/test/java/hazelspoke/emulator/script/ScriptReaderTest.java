package hazelspoke.emulator.script;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a script is read completely or rejected with its file, line and key. */
class ScriptReaderTest {
  private static final String MINIMAL = "length_s = 10\n[load]\nrate = 5\n";

  static Stream<Path> shipped() throws IOException {
    return Files.list(Path.of("rehearsals")).filter(f -> f.toString().endsWith(".toml"));
  }

  @ParameterizedTest
  @MethodSource("shipped")
  void readsEveryShippedScript(Path script) throws Exception {
    assertThat(ScriptReader.read(script.toString(), Files.readString(script)).lengthMs())
        .isPositive();
  }

  @Test
  void usesDefaultsForMissingKeys() throws Exception {
    Script script = ScriptReader.read("x", MINIMAL);
    assertThat(script.lengthMs()).isEqualTo(10_000);
    assertThat(script.classes())
        .extracting(Script.RequestClass::name)
        .containsExactly("reserve", "dispatch");
    assertThat(script.fleet().servers()).isEqualTo(12);
    assertThat(script.checker().slackMs()).isEqualTo(50);
    assertThat(script.faults()).isEmpty();
  }

  @Test
  void readsAllParametersOfAFault() throws Exception {
    Script script =
        ScriptReader.read(
            "x",
            MINIMAL
                + "[[fault]]\nwhat = \"errors\"\nat_s = 2\nfor_s = 3\nkind = \"small\"\n"
                + "share = 0.5\nfrom = 0.1\nto = 0.4\n");
    Fault fault = script.faults().get(0);
    assertThat(fault.kind()).isEqualTo(Fault.Kind.ERRORS);
    assertThat(fault.endMs()).isEqualTo(5_000);
    assertThat(fault.from()).isEqualTo(0.1);
    assertThat(fault.to()).isEqualTo(0.4);
    assertThat(fault.target()).isEqualTo(new Fault.Target(List.of(), 0.5, "small", null));
    assertThat(fault.line()).isEqualTo(5);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          length_s = 10                                    | 1 | load.rate: is missing
          length_s = 0\\n[load]\\nrate = 5                 | 1 | length_s: expected a number from 1 to 7200
          length_s = "x"\\n[load]\\nrate = 5               | 1 | length_s: expected a number
          length_s = 9\\n[load]\\nrate = 5\\nrat = 4       | 4 | load.rat: expected one of
          length_s = 9\\n[load]\\nrate = 5\\nshape = "odd" | 4 | load.shape: expected one of steady, bursty, ramp
          length_s = 9\\n[load]\\nrate = 50000\\n[[load.surge]]\\nat_s=1\\nfor_s=1\\nfactor=100 | 3 | load.rate: expected at most
          length_s = 9\\n[load\\nrate = 5                  | 2 | Unexpected
          length_s = 9\\n[load]\\nrate = 5\\n[fleet]\\ngateways = 0 | 5 | fleet.gateways: expected a number from 1
          length_s = 9\\n[load]\\nrate = 5\\n[fleet]\\ngateways = 1.5 | 5 | fleet.gateways: expected a whole number
          length_s = 9\\n[load]\\nrate = 5\\n[fleet]\\nsites = ["a","b","c"] | 4 | fleet.gateways: expected at least one
          length_s = 9\\n[load]\\nrate = 5\\n[[fault]]\\nat_s = 1 | 4 | fault[1].what: is missing
          length_s = 9\\n[load]\\nrate = 5\\n[[fault]]\\nwhat = "burn" | 5 | fault[1].what: expected one of crash,
          length_s = 9\\n[load]\\nrate = 5\\n[[fault]]\\nwhat = "crash"\\nat_s=1\\nfor_s=1 | 4 | fault[1].hosts: is missing
          length_s = 9\\n[load]\\nrate = 5\\n[[fault]]\\nwhat = "crash"\\nat_s=1\\nfor_s=1\\nhosts=["s13"] | 8 | fault[1].hosts: expected names from s1 to s12
          length_s = 9\\n[load]\\nrate = 5\\n[[fault]]\\nwhat = "site_dark"\\nat_s=1\\nfor_s=1\\nsite="x" | 8 | fault[1].site: expected one of eldorado
          length_s = 9\\n[load]\\nrate = 5\\n[[fault]]\\nwhat = "heavy_tail"\\nat_s=1\\nfor_s=1\\nfactor=2\\nrate=1\\nclass="x" | 10 | fault[1].class: expected a class
          length_s = 9\\n[load]\\nrate = 5\\n[fleet]\\nin_process=true\\n[[fault]]\\nwhat="gateway_stop"\\nat_s=1\\nfor_s=1\\ngateways=["g1"] | 7 | fault[1].what: expected gateways to be processes
          length_s = 9\\n[load]\\nrate = 5\\n[fleet]\\napart=["s1"]\\n[[fault]]\\nwhat="slow"\\nat_s=1\\nfor_s=1\\nfactor=2\\nhosts=["s1"] | 11 | fault[1].hosts: s1 runs apart
          length_s = 9\\n[load]\\nrate = 5\\n[[class]]\\nname="a"\\n[[class]]\\nname="a" | 7 | class[2].name: expected a name of its own
          """)
  void rejectsInvalidScriptWithLineAndKey(String text, int line, String what) {
    assertThatThrownBy(() -> ScriptReader.read("bad.toml", text.replace("\\n", "\n")))
        .isInstanceOf(ScriptException.class)
        .hasMessageStartingWith("bad.toml:" + line + ": " + what)
        .hasMessageNotContaining("\n");
  }

  /**
   * A valid script with random edits is either read or rejected with one line that names the
   * position.
   */
  @Property(tries = 400, seed = "1")
  void readsEditedScriptOrNamesItsLine(
      @ForAll @IntRange(max = 8) int which, @ForAll long seed, @ForAll @IntRange(max = 6) int edits)
      throws IOException {
    List<Path> all = shipped().sorted().toList();
    StringBuilder text = new StringBuilder(Files.readString(all.get(which % all.size())));
    Random random = new Random(seed);
    for (int i = 0; i < edits; i++) {
      int at = random.nextInt(text.length());
      switch (random.nextInt(4)) {
        case 0 -> text.deleteCharAt(at);
        case 1 -> text.insert(at, "[]=\"\n-9.x\u00e9#".charAt(random.nextInt(11)));
        case 2 -> text.setCharAt(at, (char) (32 + random.nextInt(95)));
        default -> text.insert(at, text.substring(0, random.nextInt(40)));
      }
    }
    try {
      assertThat(ScriptReader.read("x.toml", text.toString()).lengthMs()).isBetween(1e3, 72e5);
    } catch (ScriptException e) {
      assertThat(e.getMessage()).matches("x\\.toml:[0-9]+: [^\\n]+");
    }
  }
}
