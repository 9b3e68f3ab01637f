package hazelspoke.agreement.record;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.agreement.record.Command.Back;
import hazelspoke.agreement.record.Command.Join;
import hazelspoke.agreement.record.Command.Lapse;
import hazelspoke.agreement.record.Command.Leave;
import hazelspoke.agreement.record.Command.Note;
import hazelspoke.agreement.record.Command.Numbered;
import hazelspoke.agreement.record.Command.Refused;
import hazelspoke.agreement.record.Command.Vouch;
import hazelspoke.agreement.record.Session.Status;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the state that results from applying commands in order. */
class FleetRecordTest {
  private final FleetRecord record = new FleetRecord();

  private CommandResult apply(String origin, long number, Command command) {
    return record.apply(record.index() + 1, new Numbered(origin, number, command));
  }

  private CommandResult apply(Command command) {
    return apply("o" + record.index(), 1, command);
  }

  private Status status() {
    return record.session("g1").status();
  }

  @Test
  void reservesNameUntilItsProcessHasCertainlyEnded() {
    CommandResult first = apply(new Join("g1", "home1", 11, "a:1"));
    assertThat(first).isEqualTo(new CommandResult(true, 1, ""));
    assertThat(apply(new Join("g1", "home1", 11, "a:1")))
        .as("the same process again")
        .isEqualTo(first);
    assertThat(apply(new Join("g1", "home2", 12, "b:1")).reason()).contains("belongs to", "a:1");
    apply(new Lapse("g1", 1));
    assertThat(apply(new Join("g1", "home2", 12, "b:1")).reason()).contains("vouch for it");
    assertThat(apply(new Vouch("g1")).succeeded()).isTrue();
    assertThat(apply(new Join("g1", "home1", 11, "a:1")).reason()).contains("counts as over");
    assertThat(apply(new Join("g1", "home2", 12, "b:1")).number()).isEqualTo(8);
    assertThat(apply(new Join("g1", "home2", 13, "b:1")).number())
        .as("a later process with the same store, which only one process uses at a time")
        .isEqualTo(9);
  }

  @Test
  void ignoresCommandsForAnEarlierIncarnation() {
    apply(new Join("g1", "home1", 11, "a:1"));
    apply(new Join("g1", "home1", 12, "a:1"));
    assertThat(apply(new Lapse("g1", 1)).succeeded()).isFalse();
    assertThat(apply(new Refused("g1", 1)).succeeded()).isFalse();
    apply(new Leave("g1", 1));
    assertThat(status()).isEqualTo(Status.THERE);
  }

  @Test
  void acceptsBackRefusedAndVouchOnlyForExpiredLeases() {
    apply(new Join("g1", "home1", 11, "a:1"));
    assertThat(apply(new Vouch("g1")).reason()).contains("renews in time");
    assertThat(apply(new Refused("g1", 1)).succeeded()).isFalse();
    apply(new Lapse("g1", 1));
    assertThat(status()).isEqualTo(Status.SILENT);
    apply(new Back("g1", 1));
    assertThat(status()).isEqualTo(Status.THERE);
    apply(new Lapse("g1", 1));
    apply(new Refused("g1", 1));
    assertThat(status()).isEqualTo(Status.REFUSED);
    assertThat(apply(new Back("g1", 1)).succeeded()).isFalse();
  }

  @Test
  void answersRepeatedCommandAsBeforeAlsoAfterSnapshot() throws Exception {
    CommandResult first = apply("op", 1, new Note("k", 0, "v"));
    FleetRecord restored = FleetRecord.read(record.bytes());
    assertThat(restored.apply(9, new Numbered("op", 1, new Note("k", 0, "v")))).isEqualTo(first);
    assertThat(restored.note("k").version()).isEqualTo(1);
    assertThat(restored.apply(10, new Numbered("op", 0, new Note("k", -1, "w"))).reason())
        .contains("a later command");
    assertThat(restored.note("k").value()).isEqualTo("v");
  }

  @Test
  void limitsItsSizeAndEncodesDeterministically() throws Exception {
    for (int i = 0; i < FleetRecord.MAX_ORIGINS + 50; i++) {
      apply(new Note("k" + i, -1, "v"));
      apply(new Join("m" + i, "h", i, "a:1"));
    }
    assertThat(record.notes()).hasSize(FleetRecord.MAX_NOTES);
    assertThat(record.sessions()).hasSize(FleetRecord.MAX_SESSIONS);
    byte[] bytes = record.bytes();
    assertThat(FleetRecord.read(bytes).bytes()).isEqualTo(bytes);
  }

  @Test
  void decodesEveryCommandAsItWasEncoded() throws Exception {
    for (Command command :
        List.of(
            new Join("g1", "h", -5, "a:1"),
            new Leave("g1", 4),
            new Lapse("g1", 4),
            new Back("g1", 4),
            new Refused("g1", 4),
            new Vouch("g1"),
            new Note("k", -1, ""))) {
      Numbered numbered = new Numbered("o", 7, command);
      assertThat(Numbered.read(numbered.bytes())).isEqualTo(numbered);
    }
  }
}
