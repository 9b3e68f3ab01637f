package hazelspoke;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.junit.jupiter.api.Test;

/** The one file that is deployed: all other tests run from folders of classes. */
class PackagedJarIT {
  private record Said(int status, String out) {}

  private static Said java(String... more) throws IOException, InterruptedException {
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-jar",
            "target/hazelspoke.jar");
    builder.command().addAll(List.of(more));
    builder.environment().remove("NODE_CONFIG");
    Process process = builder.redirectErrorStream(true).start();
    process.getOutputStream().close();
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Said(process.waitFor(), out);
  }

  @Test
  void itStartsAGatewayTheSimulatorsAdapterAndTheCommands() throws Exception {
    assertThat(java("serve"))
        .isEqualTo(
            new Said(1, "hazelspoke: variable NODE_CONFIG is missing" + System.lineSeparator()));
    assertThat(java("adapter")).isEqualTo(new Said(0, ""));
    assertThat(java("fleet", "--help").out()).startsWith("Usage: pumicetray fleet");
  }

  /**
   * Five voters as processes and five hollow members: each figure has a line, nobody is missing.
   */
  @Test
  void itMeasuresHowASmallFleetGrows() throws Exception {
    Said said =
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
    assertThat(said.status()).as(said.out()).isZero();
    assertThat(said.out())
        .contains(
            "10 members: opened",
            "a change: the last knows, median, ms, by members",
            "reading a whole list, ms of the loop, by hosts",
            "a module's heap with 1,150 hosts and 3 classes, MB, by tenants")
        .containsPattern("not joined after 60 s, by members\\R +10: 0.000 12: 0.000")
        .containsPattern("members that never knew, by members\\R +10: 0.000 12: 0.000")
        .doesNotContain("broken off");
  }

  /** A library may name its build's tools as something that it needs; they are excluded. */
  @Test
  void itHoldsNoToolsOfAnybodysBuild() throws Exception {
    try (JarFile jar = new JarFile("target/hazelspoke.jar")) {
      assertThat(jar.stream().map(JarEntry::getName))
          .noneMatch(name -> name.startsWith("org/apache/maven"))
          .noneMatch(name -> name.endsWith(".SF"));
    }
  }
}
