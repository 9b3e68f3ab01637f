package hazelspoke.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import hazelspoke.agreement.net.FleetSettings;
import hazelspoke.agreement.record.FleetRecord;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Valid and invalid operator's files. */
class OperatorConfigTest {
  private static final String VALID =
      """
      [fleet]
      name = "f"
      self = "g2"
      voters = ["g1", "g2", "g3"]
      data = "data"
      [fleet.members]
      g1 = "127.0.0.1:1"
      g2 = "127.0.0.1:2"
      g3 = "127.0.0.1:3"
      """;

  @TempDir private Path folder;

  private OperatorConfig read(String text, Map<String, String> environment) throws Exception {
    Path file = folder.resolve("pumicetray.toml");
    Files.writeString(file, text);
    return OperatorConfig.read(file, environment);
  }

  private List<String> errors(String text) {
    return catchThrowableOfType(OperatorConfigException.class, () -> read(text, Map.of())).errors();
  }

  @Test
  void deployedExampleIsValidForEveryMember() throws Exception {
    for (String member : List.of("g1", "g2", "g3")) {
      FleetSettings fleet =
          OperatorConfig.read(
                  Path.of("deploy/pumicetray.toml"), Map.of("PUMICETRAY_MEMBER", member))
              .fleet();
      assertThat(fleet.member().self()).isEqualTo(member);
    }
  }

  @Test
  void acceptsAsManyMembersAsTheRecordHoldsAndNoMore() throws Exception {
    assertThat(read(withMembers(FleetRecord.MAX_SESSIONS), Map.of()).fleet()).isNotNull();
    assertThat(FleetRecord.MAX_SESSIONS).isGreaterThanOrEqualTo(1_024);
    assertThat(errors(withMembers(FleetRecord.MAX_SESSIONS + 1)))
        .singleElement()
        .asString()
        .contains("members")
        .contains("more than 2000");
  }

  private static String withMembers(int count) {
    StringBuilder text = new StringBuilder(VALID);
    for (int i = 4; i <= count; i++) {
      text.append("g").append(i).append(" = \"127.0.0.1:").append(i).append("\"\n");
    }
    return text.toString();
  }

  @Test
  void missingKeysTakeDefaultsAndAnEmptyFileHasNoFleet() throws Exception {
    FleetSettings fleet = read(VALID, Map.of()).fleet();
    assertThat(fleet.listen().getPort()).isEqualTo(2);
    assertThat(fleet.dataDirectory()).isEqualTo(folder.resolve("data"));
    assertThat(fleet.partitionPolicy()).isEqualTo(FleetSettings.PartitionPolicy.SERVE);
    assertThat(fleet.member().leaseNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(10));
    assertThat(fleet.member().refusalProvesEnd()).isTrue();
    assertThat(read("", Map.of()).fleet()).isNull();
  }

  @Test
  void reportsAllErrorsWithTheirPositions() {
    String invalid =
        VALID
            .replace("self = \"g2\"", "self = \"g22\"\ntrem_s = 9\nalone = \"wait\"\ndrift = 0.5")
            .replace("\"g3\"]", "\"g3\", \"g9\"]")
            .replace("127.0.0.1:3", "localhost:3");
    assertThat(errors(invalid))
        .hasSize(7)
        .allMatch(c -> c.contains("pumicetray.toml"))
        .anyMatch(c -> c.contains(":3: fleet.self: there is no member g22; did you mean g2?"))
        .anyMatch(c -> c.contains(":4: fleet.trem_s: is unknown; did you mean term_s?"))
        .anyMatch(c -> c.contains("fleet.alone: expected \"serve\" or \"leave\""))
        .anyMatch(c -> c.contains("fleet.drift: expected a number from 0 to 0.1"))
        .anyMatch(c -> c.contains("fleet.voters: there is no member g9"))
        .anyMatch(c -> c.contains("fleet.voters: expected 1, 3, 5 or 7"))
        .anyMatch(c -> c.contains("fleet.members.g3: expected a numeric address"));
  }

  @Test
  void reportsTomlSyntaxErrorsWithTheirLine() {
    assertThat(errors("[fleet\n")).allMatch(c -> c.contains("pumicetray.toml:1"));
    assertThat(
            catchThrowableOfType(
                    OperatorConfigException.class,
                    () -> OperatorConfig.read(folder.resolve("none.toml"), Map.of()))
                .errors())
        .singleElement()
        .asString()
        .contains("there is no such file");
  }
}
