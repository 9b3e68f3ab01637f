package hazelspoke;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.junit.jupiter.api.Test;

/** The packaged jar; all other tests run from class folders. */
class PackagedJarIT {
  private record CommandResult(int status, String out) {}

  private static CommandResult java(String... arguments) throws IOException, InterruptedException {
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-jar",
            "target/hazelspoke.jar");
    builder.command().addAll(List.of(arguments));
    builder.environment().remove("NODE_CONFIG");
    Process process = builder.redirectErrorStream(true).start();
    process.getOutputStream().close();
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new CommandResult(process.waitFor(), out);
  }

  @Test
  void startsTheGatewayTheAdapterAndTheCommands() throws Exception {
    assertThat(java("serve"))
        .isEqualTo(
            new CommandResult(
                1, "hazelspoke: variable NODE_CONFIG is missing" + System.lineSeparator()));
    assertThat(java("adapter")).isEqualTo(new CommandResult(0, ""));
    assertThat(java("fleet", "--help").out()).startsWith("Usage: pumicetray fleet");
  }

  /**
   * Runs five voters as processes and five simulated members; each metric must have a line, and no
   * member may be missing.
   */
  @Test
  void measuresAGrowingSmallFleet() throws Exception {
    CommandResult result =
        java(
            "bench",
            "scale",
            "--members",
            "10,12",
            "--hosts",
            "20",
            "--rounds",
            "1",
            "--idle",
            "0.5");
    assertThat(result.status()).as(result.out()).isZero();
    assertThat(result.out())
        .contains(
            "10 members: opened",
            "a change: the last knows, median, ms, by members",
            "reading a whole list, ms of the loop, by hosts",
            "a module's heap with 1,150 hosts and 3 classes, MB, by tenants")
        .containsPattern("not joined after 60 s, by members\\R +10: 0.000 12: 0.000")
        .containsPattern("members that never knew, by members\\R +10: 0.000 12: 0.000")
        .doesNotContain("broken off");
  }

  /** Some libraries declare their build tools as dependencies; the build excludes these. */
  @Test
  void containsNoBuildTools() throws Exception {
    try (JarFile jar = new JarFile("target/hazelspoke.jar")) {
      assertThat(jar.stream().map(JarEntry::getName))
          .noneMatch(name -> name.startsWith("org/apache/maven"))
          .noneMatch(name -> name.endsWith(".SF"));
    }
  }
}
