package ternscale.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdapterTest {
  private static final String MARK = "{\"msg\":\"Mark\",\"sim_time\":50.5,\"frame\":4}\n";
  private static final String EOB = "{\"msg\":\"Eob\"}\n";
  private static final String SETTINGS =
      "{\"me\":0,\"instances\":2,\"az\":0,\"areas\":[\"x\",\"y\"],\"quantum\":5,\"novel\":[{}],"
          + "\"discovery\":\"pushed\",\"grades\":[{\"aim\":100,\"hard_limit\":400,"
          + "\"effect\":\"repeatable\",\"worth\":1}],\"limits\":{\"send_cap\":2}}";
  private static final String OPEN =
      "{\"msg\":\"OpenInstance\",\"who\":3,\"random_seed\":9,\"settings\":" + SETTINGS + "}\n";
  private static final String LIST =
      "{\"msg\":\"Members\",\"who\":3,\"scope\":\"cached\",\"index\":1,\"rows_in\":["
          + "{\"host\":\"a:1\",\"availability\":\"on\",\"colour\":\"red\"}]}\n";
  private static final String CALL =
      "{\"client_deadline\":450,\"call\":\"q1\",\"msg\":\"Call\",\"who\":3,\"unheard\":{\"a\":[1]}}\n";

  record Run(int status, String out, String err) {}

  static Run run(String input, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status =
        Main.run(
            args.length == 0 ? new String[] {"adapter"} : args,
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
            out,
            new PrintStream(err, true));
    return new Run(
        status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void acceptsEmptyInput() {
    assertThat(run("")).isEqualTo(new Run(0, "", ""));
  }

  @Test
  void answersEmptyBatch() {
    assertThat(run(MARK + EOB).out()).isEqualTo("{\"msg\":\"Yield\",\"frame\":4}\n");
  }

  @Test
  void sendsRequestAndAcceptsItsOutcome() {
    Run r =
        run(
            MARK
                + OPEN
                + LIST
                + CALL
                + EOB
                + "{\"msg\":\"Mark\",\"sim_time\":70,\"frame\":5}\n"
                + "{\"msg\":\"Ended\",\"who\":3,\"call\":\"q1\",\"host\":\"a:1\",\"code\":\"GOOD\","
                + "\"time_taken\":19.5,\"closed\":true,\"shot\":0}\n"
                + "{\"msg\":\"CancelledByClient\",\"who\":3,\"call\":\"q1\"}\n"
                + EOB);
    assertThat(r.err()).isEmpty();
    assertThat(r.status()).isZero();
    assertThat(r.out())
        .isEqualTo(
            "{\"msg\":\"Place\",\"who\":3,\"call\":\"q1\",\"host\":\"a:1\"}\n"
                + "{\"msg\":\"Yield\",\"frame\":4}\n{\"msg\":\"Yield\",\"frame\":5}\n");
  }

  @Test
  void killedInstanceForgetsItsHosts() {
    Run r = run(MARK + OPEN + LIST + "{\"msg\":\"Kill\",\"who\":3}\n" + OPEN + CALL + EOB);
    assertThat(r.err()).isEmpty();
    assertThat(r.out()).doesNotContain("Place").contains("Yield");
  }

  @Test
  void reportsBalancerFailureAsGiveIn() {
    Run r = run(MARK + OPEN + LIST + CALL + CALL + EOB);
    assertThat(r.out()).contains("GiveIn").contains("q1").endsWith("\"frame\":4}\n");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "hello|line 2|invalid JSON",
        "[1]|line 2|not a JSON object",
        "{\"msg\":\"Dance\",\"who\":3}|line 2|Dance",
        "{\"who\":3}|line 2|field msg",
        "{\"msg\":\"Reminder\",\"name\":1}|line 2|field who",
        "{\"msg\":\"Reminder\",\"who\":8,\"name\":1}|line 2|instance 8",
        "{\"msg\":\"OpenInstance\",\"who\":3,\"random_seed\":\"x\"}|line 2|field random_seed",
        "{\"msg\":\"OpenInstance\",\"who\":3,\"random_seed\":1}|line 2|field settings",
        "{\"msg\":\"OpenInstance\",\"who\":3,\"random_seed\":1,\"settings\":{\"me\":\"a\"}}|line 2|settings.me",
        "{\"msg\":\"OpenInstance\",\"who\":3,\"random_seed\":1,\"settings\":{}}|line 2|request class",
        "{\"msg\":\"Reminder\",\"who\":1.5,\"name\":1}|line 2|field who",
        "{\"msg\":\"Reminder\",\"who\":99999999999999999999,\"name\":1}|line 2|field who",
        "{\"msg\":\"Remi|line 2|invalid JSON",
      })
  void namesInvalidInputAndEndsWithError(String line, String where, String what) {
    Run r = run(MARK + line + "\n" + EOB);
    assertThat(r.status()).isEqualTo(1);
    assertThat(r.err()).contains(where).contains(what).hasLineCount(1);
    assertThat(r.out()).isEmpty();
  }

  @Test
  void rejectsInputThatEndsInsideBatch() {
    Run r = run(MARK + OPEN);
    assertThat(r.status()).isEqualTo(1);
    assertThat(r.err()).contains("line 2").contains("inside the batch");
    assertThat(r.out()).isEmpty();
  }

  @Test
  void printsUsage() {
    assertThat(run("", "--help").status()).isZero();
    assertThat(run("", "--help").out()).contains("usage");
    Run wrong = run("", "fly");
    assertThat(wrong.status()).isEqualTo(2);
    assertThat(wrong.err()).contains("fly").contains("usage");
    assertThat(wrong.out()).isEmpty();
  }
}
