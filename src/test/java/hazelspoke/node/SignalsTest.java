package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Whoever starts a gateway may ignore signals, and it inherits that: no reload may be lost. */
class SignalsTest {
  private static final String IGNORED = "SIGHUP is ignored";

  /** As {@code nohup} does. */
  private static final String NOHUP = "trap '' HUP; ";

  private static final String BARE = "exec java \"$@\" serve";

  /**
   * At the old discovery the first host is there; at the new one it drains and the second has come.
   */
  private static void reloads(Path folder, String shell, boolean says) throws Exception {
    try (FakeServer first = host("first");
        FakeServer second = host("second");
        FakeDiscovery before = new FakeDiscovery(Rig.list(1, first));
        FakeDiscovery after =
            new FakeDiscovery(
                Rig.list(
                    1,
                    true,
                    Rig.entry(first.address(), "Terminating"),
                    Rig.entry(second.address(), "Ready")));
        ServeProcess gateway = ServeProcess.start(folder, shell, true, before.address())) {
      gateway.awaitAnswer("first");
      assertThat(gateway.log().contains(IGNORED)).as(gateway.log()).isEqualTo(says);
      assertThat(gateway.figures())
          .contains("svc.ignored.sighup=" + (says ? 1 : 0), "svc.ignored.sigterm=0");
      gateway.configure(after.address());
      gateway.signal("HUP");
      gateway.awaitAnswer("second");
      int sent = first.heads.size();
      for (int i = 0; i < 5; i++) {
        assertThat(gateway.ask()).endsWith("second");
      }
      assertThat(first.heads).hasSize(sent);
      assertThat(gateway.log()).contains("discovery is now at");
    }
  }

  private static FakeServer host(String text) throws Exception {
    return new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok(text)));
  }

  @Test
  void theDeployedCommandReloads(@TempDir Path folder) throws Exception {
    reloads(folder, ServeProcess.deployed(), false);
  }

  @Test
  void theDeployedCommandReloadsAlsoUnderNohup(@TempDir Path folder) throws Exception {
    reloads(folder, NOHUP + ServeProcess.deployed(), false);
  }

  /** No command before it restores anything: the file's change is taken, and operators are told. */
  @Test
  void anotherCommandUnderNohupTakesTheFilesChange(@TempDir Path folder) throws Exception {
    reloads(folder, NOHUP + BARE, true);
  }

  @Test
  void whatIsIgnoredIsReadFromWhatTheSystemSays() {
    IgnoredSignals both =
        IgnoredSignals.read(List.of("Name:\tjava", "SigBlk:\t0000000000000000", line("4001")));
    assertThat(both.ignores(IgnoredSignals.HUP)).isTrue();
    assertThat(both.ignores(IgnoredSignals.INT)).isFalse();
    assertThat(both.ignores(IgnoredSignals.TERM)).isTrue();
    assertThat(both.lines()).hasSize(2);
    IgnoredSignals background = IgnoredSignals.read(List.of(line("0006")));
    assertThat(background.ignores(IgnoredSignals.INT)).isTrue();
    assertThat(background.lines()).isEmpty();
    assertThat(IgnoredSignals.read(List.of("Name:\tjava")).mask()).isZero();
  }

  private static String line(String mask) {
    return "SigIgn:\t000000000000" + mask;
  }

  @Test
  void aFileCountsAsChangedOnceItStandsStill(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, "one");
    FileWatcher watch = new FileWatcher(file.toString());
    assertThat(watch.hasChanged()).isFalse();
    for (int i = 0; i < 3; i++) {
      Files.writeString(file, "longer and longer".repeat(i + 1));
      assertThat(watch.hasChanged()).isFalse();
    }
    assertThat(watch.hasChanged()).isTrue();
    assertThat(watch.hasChanged()).isFalse();
    // Replaced as editors do, by one of the same size that claims to be as old.
    Path next = folder.resolve("next");
    Files.writeString(next, Files.readString(file).replace('l', 'L'));
    Files.setLastModifiedTime(next, Files.getLastModifiedTime(file));
    Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    assertThat(watch.hasChanged()).isFalse();
    assertThat(watch.hasChanged()).isTrue();
    Files.delete(file);
    assertThat(watch.hasChanged()).isFalse();
    assertThat(watch.hasChanged()).isTrue();
    assertThat(new FileWatcher(null).hasChanged()).isFalse();
  }
}
