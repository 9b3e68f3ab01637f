package ternscale.adapter;

import java.util.ArrayList;
import java.util.List;
import ternscale.api.Settings;

/** Converts the settings object of the wire protocol to {@link Settings}. */
public final class SettingsReader {
  private SettingsReader() {}

  public static Settings read(JsonTree s) {
    JsonTree report = s.get("report");
    return new Settings(
        s.get("me").integer(0),
        s.get("instances").integer(1),
        s.get("az").integer(0),
        Math.max(1, s.get("areas").list().size()),
        s.get("quantum").number(0),
        classes(s.get("grades")),
        tenants(s.get("tenants")),
        s.get("over_share_worth").number(1),
        s.get("counted_by").text("request").equals("work"),
        s.get("discovery").text("pushed").equals("on_request")
            ? Settings.Discovery.ON_REQUEST
            : Settings.Discovery.PUSHED,
        s.get("extra").get("warm_keys").flag(false),
        s.get("clients").get("marks_retry").flag(false),
        limits(s.get("limits")),
        rules(s.get("rules")),
        costs(s.get("prices")),
        objective(s.get("result_mix")),
        reportMode(report.get("how")),
        reportFields(report.get("columns")),
        weightMeaning(s.get("weight_kind")));
  }

  private static List<Settings.RequestClass> classes(JsonTree grades) {
    List<Settings.RequestClass> out = new ArrayList<>();
    for (JsonTree g : grades.list()) {
      out.add(
          new Settings.RequestClass(
              g.get("aim").number(0),
              g.get("aim_stretch").number(0),
              g.get("hard_limit").number(0),
              g.get("worth").number(1),
              g.get("late_worth").number(0),
              effect(g.get("effect")),
              dedupScope(g.get("group")),
              g.get("window").number(0),
              g.get("stream").flag(false)));
    }
    return out;
  }

  private static Settings.Effect effect(JsonTree t) {
    String value = t.text("once");
    return switch (value) {
      case "repeatable" -> Settings.Effect.REPEATABLE;
      case "by_key" -> Settings.Effect.BY_KEY;
      case "once" -> Settings.Effect.ONCE;
      default -> throw t.error("has the unknown value " + value);
    };
  }

  private static Settings.DedupScope dedupScope(JsonTree t) {
    String value = t.text("all");
    return switch (value) {
      case "all" -> Settings.DedupScope.ALL;
      case "zone" -> Settings.DedupScope.ZONE;
      case "cell" -> Settings.DedupScope.CELL;
      default -> throw t.error("has the unknown value " + value);
    };
  }

  private static List<Settings.Tenant> tenants(JsonTree list) {
    List<Settings.Tenant> out = new ArrayList<>();
    for (JsonTree t : list.list()) {
      out.add(new Settings.Tenant(t.get("share").number(0), t.get("quota_rps").number(0)));
    }
    return out;
  }

  private static Settings.Limits limits(JsonTree l) {
    return new Settings.Limits(
        l.get("send_cap").integer(1),
        l.get("second_copies").flag(false),
        l.get("may_probe").flag(false),
        l.get("cancelling").flag(false),
        l.get("peers").flag(false),
        l.get("retry_after").flag(false),
        l.get("max_retry_after").number(0),
        l.get("connect_timeout").number(0),
        l.get("conn_idle").number(0),
        l.get("multiplex").integer(1));
  }

  private static Settings.Rules rules(JsonTree r) {
    return new Settings.Rules(
        r.get("cold_from").number(1),
        r.get("cold").number(0),
        r.get("fall_multiple").number(1),
        r.get("fall").number(0),
        r.get("drain_grace").number(0),
        r.get("grace_to_answer").number(0),
        r.get("must_ask_in").number(0));
  }

  private static Settings.Costs costs(JsonTree p) {
    return new Settings.Costs(
        p.get("cross_zone").number(0),
        p.get("probe").number(0),
        p.get("waste").number(0),
        p.get("late_fail").number(0),
        p.get("handshake").number(0));
  }

  private static Settings.Objective objective(JsonTree g) {
    return new Settings.Objective(
        g.get("whole").number(1),
        g.get("worst_window").number(0),
        g.get("worst_class").number(0),
        g.get("worst_tenant").number(0));
  }

  private static Settings.ReportMode reportMode(JsonTree how) {
    String value = how.text("silent");
    return switch (value) {
      case "piggyback" -> Settings.ReportMode.WITH_ANSWERS;
      case "pull" -> Settings.ReportMode.WITH_PROBES;
      case "silent" -> Settings.ReportMode.NONE;
      default -> throw how.error("has the unknown value " + value);
    };
  }

  private static List<Settings.ReportField> reportFields(JsonTree columns) {
    List<Settings.ReportField> out = new ArrayList<>();
    for (JsonTree c : columns.list()) {
      out.add(
          switch (c.text("")) {
            case "concurrent" -> Settings.ReportField.IN_FLIGHT;
            case "depth" -> Settings.ReportField.QUEUE;
            case "load_share" -> Settings.ReportField.UTILIZATION;
            case "mean_ms" -> Settings.ReportField.LATENCY_MS;
            case "tps" -> Settings.ReportField.QPS;
            case "err_ps" -> Settings.ReportField.EPS;
            default -> Settings.ReportField.OTHER;
          });
    }
    return out;
  }

  private static Settings.WeightMeaning weightMeaning(JsonTree t) {
    String value = t.text("silent");
    return switch (value) {
      case "nominal" -> Settings.WeightMeaning.NOMINAL;
      case "rough" -> Settings.WeightMeaning.ROUGH;
      case "live" -> Settings.WeightMeaning.LIVE;
      case "silent" -> Settings.WeightMeaning.NONE;
      default -> throw t.error("has the unknown value " + value);
    };
  }
}
