package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A gateway inherits ignored signals from its parent process. Reloads must work all the same. */
class SignalsTest {
  private static final String IGNORED = "SIGHUP is ignored";

  /** Ignores SIGHUP as {@code nohup} does. */
  private static final String NOHUP = "trap '' HUP; ";

  private static final String BARE = "exec java \"$@\" serve";

  /**
   * The old discovery lists the first host; at the new one that host drains and the second is
   * ready.
   */
  private static void checkReload(Path folder, String shell, boolean isIgnored) throws Exception {
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
      assertThat(gateway.log().contains(IGNORED)).as(gateway.log()).isEqualTo(isIgnored);
      assertThat(gateway.metrics())
          .contains("svc.ignored.sighup=" + (isIgnored ? 1 : 0), "svc.ignored.sigterm=0");
      gateway.configure(after.address());
      gateway.signal("HUP");
      gateway.awaitAnswer("second");
      int sent = first.heads.size();
      for (int i = 0; i < 5; i++) {
        assertThat(gateway.sendRequest()).endsWith("second");
      }
      assertThat(first.heads).hasSize(sent);
      assertThat(gateway.log()).contains("discovery is now at");
    }
  }

  private static FakeServer host(String text) throws Exception {
    return new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok(text)));
  }

  @Test
  void deployedCommandReloads(@TempDir Path folder) throws Exception {
    checkReload(folder, ServeProcess.deployedCommand(), false);
  }

  @Test
  void deployedCommandReloadsUnderNohup(@TempDir Path folder) throws Exception {
    checkReload(folder, NOHUP + ServeProcess.deployedCommand(), false);
  }

  /** Nothing restores the signal here: the file is polled for changes, and operators are warned. */
  @Test
  void plainCommandUnderNohupReloadsOnFileChange(@TempDir Path folder) throws Exception {
    checkReload(folder, NOHUP + BARE, true);
  }

  @Test
  void readsIgnoredSignalsFromProcessStatus() {
    IgnoredSignals both =
        IgnoredSignals.read(List.of("Name:\tjava", "SigBlk:\t0000000000000000", maskLine("4001")));
    assertThat(both.ignores(IgnoredSignals.HUP)).isTrue();
    assertThat(both.ignores(IgnoredSignals.INT)).isFalse();
    assertThat(both.ignores(IgnoredSignals.TERM)).isTrue();
    assertThat(both.warnings()).hasSize(2);
    IgnoredSignals background = IgnoredSignals.read(List.of(maskLine("0006")));
    assertThat(background.ignores(IgnoredSignals.INT)).isTrue();
    assertThat(background.warnings()).isEmpty();
    assertThat(IgnoredSignals.read(List.of("Name:\tjava")).mask()).isZero();
  }

  private static String maskLine(String mask) {
    return "SigIgn:\t000000000000" + mask;
  }

  @Test
  void reportsFileChangeOnceTheFileIsStable(@TempDir Path folder) throws Exception {
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
    // Replaced as editors do, by a file of the same size and modification time.
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
