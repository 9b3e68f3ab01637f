package ternscale.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ternscale.api.Actions;
import ternscale.api.Settings;

/** Covers every event, outcome, settings key and action of the wire protocol. */
class WireTest {
  private static final String EOB = "{\"msg\":\"Eob\"}\n";

  private static String mark(int frame, double time) {
    return "{\"msg\":\"Mark\",\"sim_time\":" + time + ",\"frame\":" + frame + "}\n";
  }

  private static String event(String msg, String fields) {
    return "{\"msg\":\"" + msg + "\",\"who\":0" + (fields.isEmpty() ? "" : "," + fields) + "}\n";
  }

  private static String open(String effect) {
    return event(
        "OpenInstance",
        "\"random_seed\":4,\"settings\":{\"areas\":[\"x\"],\"discovery\":\"pushed\","
            + "\"limits\":{\"send_cap\":3,\"cancelling\":true},\"grades\":[{\"aim\":100,"
            + "\"hard_limit\":400,\"stream\":true,\"effect\":\""
            + effect
            + "\"}]}");
  }

  private static String members(String scope, String... idAndAvailability) {
    StringBuilder rows = new StringBuilder();
    for (int i = 0; i < idAndAvailability.length; i += 2) {
      rows.append(i == 0 ? "" : ",")
          .append("{\"host\":\"" + idAndAvailability[i] + "\",\"availability\":\"")
          .append(idAndAvailability[i + 1] + "\"}");
    }
    String list = scope.equals("failed") ? "" : ",\"rows_in\":[" + rows + "]";
    return event("Members", "\"scope\":\"" + scope + "\",\"index\":2" + list);
  }

  private static String call(String id) {
    return event("Call", "\"call\":\"" + id + "\",\"lane\":0,\"client_deadline\":500");
  }

  private static String ended(String id, String host, String code, boolean closed) {
    return event(
        "Ended",
        "\"call\":\"%s\",\"host\":\"%s\",\"code\":\"%s\",\"time_taken\":5,\"shot\":0%s"
            .formatted(id, host, code, closed ? ",\"closed\":true" : ""));
  }

  private static List<String> run(String input) {
    AdapterTest.Run r = AdapterTest.run(input);
    assertThat(r.err()).isEmpty();
    assertThat(r.status()).isZero();
    return r.out().lines().toList();
  }

  /** The reply to the second batch, after one request was sent in the first. */
  private static List<String> replyTo(String effect, String secondBatch) {
    String first = mark(1, 100) + open(effect) + members("cached", "a:1", "on") + call("q") + EOB;
    List<String> lines =
        run(first + mark(2, 110) + secondBatch + EOB).stream()
            .filter(l -> !l.contains("\"Schedule\""))
            .toList();
    assertThat(lines.get(0)).contains("\"Place\"").contains("\"q\"").contains("a:1");
    assertThat(lines.get(1)).contains("\"Yield\"");
    assertThat(lines.get(lines.size() - 1)).isEqualTo("{\"msg\":\"Yield\",\"frame\":2}");
    return lines.subList(2, lines.size() - 1);
  }

  @ParameterizedTest
  @CsvSource({
    "GOOD, true, once, ''",
    "BAD, false, once, DropRequest",
    "LATE, false, once, DropRequest",
    "RST, false, once, DropRequest",
    "CXL, false, once, DropRequest",
    "FULL, false, once, Place",
    "NOCONN, false, once, Place",
    "NOP, false, once, Place",
    "BAD, false, repeatable, Place",
    "LATE, false, repeatable, Place",
    "RST, true, repeatable, ''",
  })
  void mapsEachOutcomeCode(String code, boolean closed, String effect, String action) {
    String second = members("delta", "b:1", "on") + ended("q", "a:1", code, closed);
    List<String> reply = replyTo(effect, second);
    if (action.isEmpty()) {
      assertThat(reply).isEmpty();
    } else {
      assertThat(reply).singleElement().asString().contains("\"" + action + "\"");
    }
  }

  @Test
  void takesNoActionAfterStreamStarted() {
    String started =
        event("Accepted", "\"call\":\"q\",\"shot\":0,\"host\":\"a:1\",\"time_taken\":3");
    assertThat(replyTo("repeatable", started + event("Reminder", "\"name\":2"))).isEmpty();
    assertThat(replyTo("repeatable", started + ended("q", "a:1", "RST", true))).isEmpty();
  }

  @Test
  void acceptsEventsThatNeedNoAction() {
    String events =
        event("Memo", "\"sender\":1,\"data\":\"\\u00e9 7\"")
            + event(
                "Sampled", "\"host\":\"a:1\",\"code\":\"GOOD\",\"time_taken\":1,\"report\":[2,0.5]")
            + event("Sampled", "\"host\":\"a:1\",\"code\":\"LATE\",\"time_taken\":9")
            + event("Reminder", "\"name\":77")
            + event("CancelledByClient", "\"call\":\"never-seen\"")
            + ended("never-seen", "a:1", "LATE", true)
            + members("failed");
    assertThat(replyTo("once", events)).isEmpty();
  }

  @Test
  void cancelsAttemptOfDisconnectedClient() {
    assertThat(replyTo("once", event("CancelledByClient", "\"call\":\"q\"")))
        .containsExactly("{\"msg\":\"Abandon\",\"who\":0,\"call\":\"q\",\"shot\":0}");
  }

  @ParameterizedTest
  @CsvSource({"delta, fading", "delta, off", "full, fading", "full, ''", "cached, ''"})
  void sendsNothingToDrainingOrRemovedHost(String scope, String availability) {
    String list =
        availability.isEmpty()
            ? members(scope, "b:1", "on")
            : members(scope, "a:1", availability, "b:1", "on");
    StringBuilder calls = new StringBuilder();
    for (int i = 0; i < 4; i++) {
      calls.append(call("next" + i));
    }
    assertThat(replyTo("once", list + calls))
        .hasSize(4)
        .allMatch(l -> l.contains("\"Place\"") && l.contains("b:1"));
  }

  @Test
  void answersLargeBatchInOneReply() {
    StringBuilder calls = new StringBuilder(mark(1, 100) + open("repeatable"));
    calls.append(members("full", "a:1", "on", "b:1", "on"));
    int n = 30_000;
    for (int i = 0; i < n; i++) {
      calls.append(call("00000000-0000-0000-0000-" + (100_000_000_000L + i)));
    }
    assertThat(calls.length()).isGreaterThan(3_000_000);
    List<String> lines = run(calls + EOB);
    assertThat(lines).filteredOn(l -> l.contains("\"Place\"")).hasSize(n);
    assertThat(lines).filteredOn(l -> l.contains("\"Yield\"")).hasSize(1);
    assertThat(lines.get(lines.size() - 1)).contains("\"Yield\"");
  }

  @Test
  void readsEverySettingsKey() throws IOException {
    String text =
        "{'me':1,'instances':3,'az':1,'areas':['p','q'],'quantum':4,'over_share_worth':0.25,"
            + "'counted_by':'work','discovery':'on_request','extra':{'warm_keys':true},'clients':{'marks_retry':true},"
            + "'grades':[{'aim':90,'aim_stretch':2,'hard_limit':700,'worth':3,'late_worth':0.5,"
            + "'effect':'by_key','group':'cell','window':800,'stream':true,'name':'n'}],"
            + "'tenants':[{'name':'t','share':0.75,'quota_rps':40}],"
            + "'limits':{'send_cap':5,'second_copies':true,'may_probe':true,'cancelling':true,"
            + "'peers':true,'retry_after':true,'max_retry_after':900,'connect_timeout':70,"
            + "'conn_idle':8000,'multiplex':6,'open_cap':10,'cpu_us_per_s':1},"
            + "'rules':{'cold_from':0.3,'cold':7000,'fall_multiple':2.5,'fall':1500,"
            + "'drain_grace':600,'grace_to_answer':15,'must_ask_in':9000},"
            + "'prices':{'cross_zone':0.01,'probe':0.02,'waste':0.03,'late_fail':0.04,"
            + "'handshake':0.05,'fleet':1},"
            + "'result_mix':{'whole':0.4,'worst_window':0.3,'worst_class':0.2,'worst_tenant':0.1},"
            + "'report':{'how':'pull','columns':['concurrent','depth','load_share','mean_ms',"
            + "'tps','err_ps','moon']},'weight_kind':'live','layer':0,'tiers':['z']}";
    try (JsonParser parser = new JsonFactory().createParser(text.replace('\'', '"'))) {
      parser.nextToken();
      assertThat(SettingsReader.read(JsonTree.read(parser)))
          .isEqualTo(
              new Settings(
                  1,
                  3,
                  1,
                  2,
                  4,
                  List.of(
                      new Settings.RequestClass(
                          90,
                          2,
                          700,
                          3,
                          0.5,
                          Settings.Effect.BY_KEY,
                          Settings.DedupScope.CELL,
                          800,
                          true)),
                  List.of(new Settings.Tenant(0.75, 40)),
                  0.25,
                  true,
                  Settings.Discovery.ON_REQUEST,
                  true,
                  true,
                  new Settings.Limits(5, true, true, true, true, true, 900, 70, 8000, 6),
                  new Settings.Rules(0.3, 7000, 2.5, 1500, 600, 15, 9000),
                  new Settings.Costs(0.01, 0.02, 0.03, 0.04, 0.05),
                  new Settings.Objective(0.4, 0.3, 0.2, 0.1),
                  Settings.ReportMode.WITH_PROBES,
                  List.of(Settings.ReportField.values()),
                  Settings.WeightMeaning.LIVE));
    }
  }

  @Test
  void writesEveryAction() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    WireWriter writer = new WireWriter(out);
    Actions a = writer.forInstance(7);
    a.send("q", "a:1", 80);
    a.reject("q", 50);
    a.reject("q", 0);
    a.fail("q");
    a.cancel("q", 2);
    a.probe("a:1");
    a.closeIdle("a:1");
    a.setTimer(9, 500);
    a.poll();
    a.watch(true);
    a.watch(false);
    a.sendToPeer(4, "hi");
    a.sendToPeer(-1, "hi");
    a.log("two \"words\"");
    writer.finishReply(3);
    assertThat(out.toString(StandardCharsets.UTF_8).replace("\"who\":7", "W").lines())
        .containsExactly(
            "{\"msg\":\"Place\",W,\"call\":\"q\",\"host\":\"a:1\",\"give_up_after\":80.0}",
            "{\"msg\":\"Shed\",W,\"call\":\"q\",\"retry_after\":50.0}",
            "{\"msg\":\"Shed\",W,\"call\":\"q\"}",
            "{\"msg\":\"DropRequest\",W,\"call\":\"q\"}",
            "{\"msg\":\"Abandon\",W,\"call\":\"q\",\"shot\":2}",
            "{\"msg\":\"SoundOut\",W,\"host\":\"a:1\"}",
            "{\"msg\":\"LetGo\",W,\"host\":\"a:1\"}",
            "{\"msg\":\"Schedule\",W,\"sleep_for\":500.0,\"name\":9}",
            "{\"msg\":\"Lookup\",W}",
            "{\"msg\":\"Watch\",W,\"want\":true}",
            "{\"msg\":\"Watch\",W,\"want\":false}",
            "{\"msg\":\"Tell\",W,\"addressee\":4,\"data\":\"hi\"}",
            "{\"msg\":\"Tell\",W,\"addressee\":\"*\",\"data\":\"hi\"}",
            "{\"msg\":\"JournalLine\",W,\"line\":\"two \\\"words\\\"\"}",
            "{\"msg\":\"Yield\",\"frame\":3}");
  }
}
