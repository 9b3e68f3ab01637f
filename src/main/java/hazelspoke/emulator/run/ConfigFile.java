package hazelspoke.emulator.run;

import hazelspoke.emulator.model.Registry;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.net.Discovery;
import hazelspoke.emulator.script.Script;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes the configuration file of a gateway. */
final class ConfigFile {
  static final double FALL_MULTIPLE = 3;
  static final double FALL_MS = 3_000;
  static final double MUST_ASK_MS = 10_000;

  private ConfigFile() {}

  static String write(
      World world,
      int gateway,
      String listen,
      String discovery,
      long seed,
      long index,
      List<Registry.Entry> known) {
    Script script = world.script();
    String zones = quoted(script.fleet().sites());
    String grades =
        script.classes().stream().map(ConfigFile::grade).collect(Collectors.joining(","));
    boolean onRequest = script.discovery().mode() == Script.Mode.ASKED;
    return String.format(
        Locale.ROOT,
        """
        {"name":"g%d","listen":"%s","discovery":"%s","seed":"%x",
         "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
         "known":%s,
         "settings":{"areas":[%s],"az":%d,"me":%d,"instances":%d,"quantum":1.0,
          "kinds":["large","medium","small"],"discovery":"%s","counted_by":"work",
          "clients":{"marks_retry":false},"extra":{"warm_keys":true},"weight_kind":"silent",
          "grades":[%s],
          "limits":{"send_cap":5,"second_copies":true,"may_probe":true,"cancelling":true,
           "peers":false,"retry_after":true,"max_retry_after":750,"connect_timeout":250,
           "conn_idle":5000,"multiplex":1,"open_cap":44676},
          "report":{"how":"pull","columns":["err_ps","concurrent"]},
          "prices":{"cross_zone":0.02,"waste":0.1,"probe":0.01,"late_fail":0.05},
          "result_mix":{"whole":0.55,"worst_window":0.35,"worst_class":0.1},
          "rules":{"cold":%.0f,"cold_from":0.31,"drain_grace":1000,"fall":%.0f,
           "fall_multiple":%.1f,"grace_to_answer":20,"must_ask_in":%.0f},
          "tenants":[],"over_share_worth":0.1}}
        """,
        gateway + 1,
        listen,
        discovery,
        seed,
        script.fleet().memoryMb(),
        script.fleet().sockets(),
        Discovery.json(index, true, known),
        zones,
        world.gatewaySites().get(gateway),
        gateway,
        script.fleet().gateways(),
        onRequest ? "on_request" : "pushed",
        grades,
        script.fleet().coldMs(),
        FALL_MS,
        FALL_MULTIPLE,
        MUST_ASK_MS);
  }

  private static String grade(Script.RequestClass c) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"zone\",\"aim\":%.1f,\"hard_limit\":%.1f,"
            + "\"window\":%.1f,\"worth\":%.2f,\"late_worth\":0}",
        c.name(),
        c.effect().name().toLowerCase(Locale.ROOT),
        c.aimMs(),
        c.deadlineMs(),
        c.windowMs(),
        c.worth());
  }

  private static String quoted(List<String> names) {
    return names.stream().map(n -> "\"" + n + "\"").collect(Collectors.joining(","));
  }
}
