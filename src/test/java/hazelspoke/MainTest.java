package hazelspoke;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: help, errors and exit statuses. */
class MainTest {
  private record CommandResult(int status, String out, String err) {}

  private static CommandResult run(String... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream toOut = new ByteArrayOutputStream();
    ByteArrayOutputStream toErr = new ByteArrayOutputStream();
    System.setOut(new PrintStream(toOut, true));
    System.setErr(new PrintStream(toErr, true));
    try {
      int status = Main.run(args, Map.of());
      return new CommandResult(status, toOut.toString(), toErr.toString());
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }

  @Test
  void everyCommandPrintsHelp() {
    CommandResult all = run("--help");
    assertThat(all.status()).isZero();
    for (String command :
        new String[] {
          "demo", "rehearse", "compare", "torment", "serve", "adapter", "archive", "stock-server"
        }) {
      assertThat(all.out()).contains("  " + command);
      CommandResult help = run(command, "--help");
      assertThat(help.status()).isZero();
      assertThat(help.out()).startsWith("Usage: pumicetray " + command);
    }
    assertThat(run("--version").out()).startsWith("pumicetray ");
  }

  @Test
  void invalidArgumentsAreReportedWithStatusTwo() {
    assertThat(run().status()).isEqualTo(2);
    CommandResult invalid = run("rehaerse");
    assertThat(invalid.status()).isEqualTo(2);
    assertThat(invalid.err()).contains("rehaerse").contains("rehearse");
    assertThat(run("rehearse").err()).contains("SCRIPT");
  }

  @Test
  void invalidScriptPrintsOneLineAndReturnsOne(@TempDir Path folder) throws Exception {
    Path script = folder.resolve("bad.toml");
    Files.writeString(script, "length_s = 10\n[load]\nrate = -1\n");
    CommandResult invalid = run("rehearse", script.toString());
    assertThat(invalid.status()).isEqualTo(1);
    assertThat(invalid.err().lines())
        .containsExactly(
            "pumicetray: " + script + ":3: load.rate: expected a number from 0.1 to 50000");
    CommandResult missing = run("rehearse", folder.resolve("none.toml").toString());
    assertThat(missing.status()).isEqualTo(1);
    assertThat(missing.err().lines()).hasSize(1);
  }

  @Test
  void compareRejectsFaultsThatSignalsCannotReproduce(@TempDir Path folder) throws Exception {
    Path script = folder.resolve("slow.toml");
    Files.writeString(
        script,
        "length_s = 1\n[load]\nrate = 1\n[[fault]]\nwhat = \"slow\"\nat_s = 0\nfor_s = 1\n"
            + "factor = 2\nhosts = [\"s1\"]\n");
    CommandResult result = run("compare", script.toString());
    assertThat(result.status()).isEqualTo(1);
    assertThat(result.err().lines())
        .containsExactly(
            "pumicetray: "
                + script
                + ":5: only crashes and freezes can be reproduced with signals");
  }

  @Test
  void tormentRejectsInvalidOptionsBeforeAnythingStarts(@TempDir Path folder) throws Exception {
    Path script = folder.resolve("two.toml");
    Files.writeString(
        script,
        "length_s = 9\n[fleet]\ngateways = 2\n[load]\nrate = 1\n[[fault]]\n"
            + "what = \"gateway_hup\"\nat_s = 0\ngateways = [\"g2\"]\n");
    for (String[] invalid :
        new String[][] {
          {"--for", "1", "5 to 7200"},
          {"--processes", "0", "200 at most"},
          {"--processes", "1", "names from g1 to g1, not g2"}
        }) {
      CommandResult result = run("torment", script.toString(), invalid[0], invalid[1]);
      assertThat(result.status()).isEqualTo(2);
      assertThat(result.out()).isEmpty();
      assertThat(result.err()).contains(invalid[2]);
    }
  }

  /** Classes of the interactive commands would cost start time and memory in production. */
  @Test
  void serveLoadsNoClassOfTheEmulatorOrItsLibraries() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load",
                "-cp",
                System.getProperty("java.class.path")
                    + File.pathSeparator
                    + Path.of("target/classes").toAbsolutePath(),
                "hazelspoke.Main",
                "serve")
            .redirectErrorStream(true)
            .start();
    String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor()).isEqualTo(1);
    assertThat(log)
        .contains("variable NODE_CONFIG is missing")
        .contains("hazelspoke.node.GatewayConfig")
        .doesNotContain(
            "picocli",
            "tomlj",
            "antlr",
            "hazelspoke.emulator",
            "hazelspoke.bench",
            "hazelspoke.agreement",
            "hazelspoke.config",
            "hazelspoke.node.FleetMembership",
            "io.microraft",
            "dataformat.cbor",
            "org.slf4j",
            "HdrHistogram",
            "hazelspoke.Commands");
  }
}
