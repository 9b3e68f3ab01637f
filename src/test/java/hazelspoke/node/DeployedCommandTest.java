package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The deployed command on a platform that allows little but TCP. */
class DeployedCommandTest {
  @Test
  void servesAsOneProcessWithoutUnixSocketsAndOtherPrograms(@TempDir Path folder) throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(2, host))) {
      try (ServeProcess gateway =
          ServeProcess.start(
              folder,
              ServeProcess.deployedCommand(),
              false,
              discovery.address(),
              "-Djava.security.manager=" + RestrictedPlatform.class.getName(),
              "-Xlog:class+load:file=" + folder.resolve("classes"))) {
        gateway.awaitAnswer("done");
        assertThat(gateway.sendRequest()).as(gateway.log()).endsWith("done");
        // The command uses exec: the started process is the gateway itself and has no children.
        assertThat(gateway.process.info().command().orElse("")).endsWith("java");
        assertThat(gateway.process.descendants()).isEmpty();
        assertThat(gateway.log()).contains("no warm-up").doesNotContain("Exception");
        gateway.signal("TERM");
        gateway.process.waitFor();
        assertThat(gateway.log()).contains("taking leave");
      }
      assertThat(Files.readString(folder.resolve("classes")))
          .contains("hazelspoke.node.Gateway")
          .doesNotContain("hazelspoke.agreement", "hazelspoke.config", "io.microraft", "org.slf4j");
    }
  }
}
