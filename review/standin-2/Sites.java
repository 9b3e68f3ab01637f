/** The settings that a gateway of a small deployment is given, by the site files. */
final class Sites {
  private Sites() {}

  private static String settings(
      String zones, String classes, String discovery, String limits, String rules, String rest) {
    return "{\"areas\":[" + zones + "],\"az\":0,\"me\":0,\"counted_by\":\"request\","
        + "\"discovery\":\"" + discovery + "\",\"family\":\"proxy\",\"layer\":0,\"quantum\":5.0,"
        + "\"grades\":[" + classes + "],\"limits\":{" + limits
        + ",\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":1116903,\"multiplex\":1,\"open_cap\":44676,"
        + "\"peers\":false},\"over_share_worth\":0.1,"
        + "\"prices\":{\"connection\":0.0,\"cross_zone\":0.02,\"discovery\":0.0,\"handshake\":0.0,"
        + "\"late_fail\":0.05,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"waste\":0.1},"
        + "\"result_mix\":{\"whole\":0.6,\"worst_class\":0.1,\"worst_tenant\":0.0,"
        + "\"worst_window\":0.3},\"rules\":{" + rules + ",\"grace_to_answer\":20.0,"
        + "\"must_ask_in\":10000.0},\"tenants\":[],\"weight_kind\":\"silent\"," + rest + "}";
  }

  private static String type(
      String name, String effect, String group, int aim, int limit, int window, int worth) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group
        + "\",\"aim\":" + aim + ".0,\"hard_limit\":" + limit + ".0,\"window\":" + window
        + ".0,\"worth\":" + worth + ".0,\"late_worth\":0.0,\"stream\":false}";
  }

  /** kit/sites/alto-parana-stock.toml. */
  static String altoParana() {
    return settings(
        "\"eldorado\",\"montecarlo\"",
        type("reserve", "by_key", "zone", 500, 1_500, 1_500, 2) + ","
            + type("dispatch", "once", "all", 600, 1_200, 5_000, 10),
        "on_request",
        "\"cancelling\":true,\"conn_idle\":5000.0,\"connect_timeout\":250.0,"
            + "\"max_retry_after\":750.0,\"may_probe\":true,\"retry_after\":true,"
            + "\"second_copies\":true,\"send_cap\":5",
        "\"cold\":8500.0,\"cold_from\":0.31,\"drain_grace\":1000.0,\"fall\":3000.0,"
            + "\"fall_multiple\":3.0",
        "\"instances\":1,\"kinds\":[\"large\"],\"tiers\":[\"stock-servers\"],"
            + "\"clients\":{\"marks_retry\":false},\"extra\":{\"warm_keys\":true},"
            + "\"report\":{\"columns\":[\"err_ps\",\"concurrent\"],\"how\":\"pull\"}");
  }

  /** deploy/sites/parish-records.toml. */
  static String parishRecords(int gateways) {
    return settings(
        "\"vault\"",
        type("leaf-through", "repeatable", "all", 900, 2_800, 5_000, 1) + ","
            + type("amend-entry", "by_key", "all", 1_200, 2_500, 1_000, 4) + ","
            + type("seal", "once", "all", 1_000, 2_000, 5_000, 15),
        "on_request",
        "\"cancelling\":true,\"conn_idle\":20000.0,\"connect_timeout\":900.0,"
            + "\"max_retry_after\":1500.0,\"may_probe\":false,\"retry_after\":true,"
            + "\"second_copies\":false,\"send_cap\":1",
        "\"cold\":14000.0,\"cold_from\":0.2,\"drain_grace\":700.0,\"fall\":4000.0,"
            + "\"fall_multiple\":2.0",
        "\"instances\":" + gateways + ",\"kinds\":[\"reader\"],\"tiers\":[\"record-readers\"],"
            + "\"clients\":{\"marks_retry\":false},\"extra\":{\"warm_keys\":false},"
            + "\"report\":{\"columns\":[],\"how\":\"silent\"}");
  }
}
