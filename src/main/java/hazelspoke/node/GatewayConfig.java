package hazelspoke.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import hazelspoke.core.ClassRegistry;
import hazelspoke.core.HostList;
import hazelspoke.core.Names;
import hazelspoke.discovery.HostListJson;
import hazelspoke.net.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ternscale.adapter.JsonTree;
import ternscale.adapter.SettingsReader;
import ternscale.adapter.WireException;
import ternscale.api.Settings;

/**
 * What a gateway is told at its start: the file that NODE_CONFIG names, and the variables.
 *
 * @param classes those of the settings, each at its place there
 * @param file as it was read, without the list of hosts
 * @param management where operators call; null where they have no address
 */
record GatewayConfig(
    InetSocketAddress listen,
    InetSocketAddress management,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    int openCap,
    HostList.Update known,
    Settings settings,
    Names names,
    ClassRegistry classes,
    JsonTree file) {
  private static final int USUAL_SOCKETS = 1_024;

  /**
   * Reads new settings for a gateway that was started with these. Stricter than at the start, where
   * what is left out takes a default: there has to be all that there was.
   */
  GatewayConfig readAgain(Map<String, String> environment) throws ConfigException {
    GatewayConfig next = read(environment);
    try {
      next.file.requireKeysOf(file);
    } catch (WireException e) {
      throw new ConfigException(e.getMessage());
    }
    return next;
  }

  static GatewayConfig read(Map<String, String> environment) throws ConfigException {
    String file = environment.get("NODE_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new ConfigException("variable NODE_CONFIG is missing");
    }
    try (JsonParser parser = new JsonFactory().createParser(Files.readString(Path.of(file)))) {
      if (parser.nextToken() == null) {
        throw new ConfigException("the file that NODE_CONFIG names is empty");
      }
      return read(JsonTree.read("config", parser), environment);
    } catch (JsonProcessingException e) {
      throw new ConfigException(
          "the file that NODE_CONFIG names is no JSON: " + e.getOriginalMessage());
    } catch (IOException | InvalidPathException e) {
      throw new ConfigException("the file that NODE_CONFIG names cannot be read: " + e);
    }
  }

  private static GatewayConfig read(JsonTree config, Map<String, String> environment)
      throws ConfigException {
    try {
      JsonTree settings = config.get("settings");
      Names names = names(settings);
      if (names.classes().isEmpty()) {
        throw new ConfigException("field config.settings.grades is missing");
      }
      Settings read = SettingsReader.read(settings);
      return new GatewayConfig(
          address(config, "listen", environment.get("NODE_LISTEN")),
          management(config, environment.get("NODE_MANAGEMENT")),
          // The file first: a new configuration replaces it, and leaves the variables behind.
          address(
              config, "discovery", config.get("discovery").text(environment.get("NODE_DISCOVERY"))),
          seed(config.get("seed")),
          config.get("limits").get("sockets").integer(USUAL_SOCKETS),
          settings.get("limits").get("open_cap").integer(Integer.MAX_VALUE),
          HostListJson.read(config.get("known"), names),
          read,
          names,
          ClassRegistry.of(names.classes(), read.classes()),
          config.without("known"));
    } catch (WireException e) {
      throw new ConfigException(e.getMessage());
    } catch (IllegalArgumentException e) {
      throw new ConfigException("field config.settings: " + e.getMessage());
    }
  }

  private static Names names(JsonTree settings) {
    return new Names(
        field(settings.get("grades"), "name"),
        field(settings.get("tenants"), "name"),
        texts(settings.get("areas")),
        texts(settings.get("kinds")),
        texts(settings.get("report").get("columns")));
  }

  private static List<String> field(JsonTree list, String key) {
    List<String> out = new ArrayList<>();
    for (JsonTree item : list.list()) {
      out.add(item.get(key).text(""));
    }
    return List.copyOf(out);
  }

  private static List<String> texts(JsonTree list) {
    List<String> out = new ArrayList<>();
    for (JsonTree item : list.list()) {
      out.add(item.text(""));
    }
    return List.copyOf(out);
  }

  private static InetSocketAddress address(JsonTree config, String key, String variable)
      throws ConfigException {
    String text = variable != null ? variable : config.get(key).text(null);
    if (text == null) {
      throw new ConfigException("field config." + key + " is missing");
    }
    InetSocketAddress address = Addresses.parse(text);
    if (address == null) {
      throw new ConfigException("field config." + key + " is no address and port: " + text);
    }
    return address;
  }

  private static InetSocketAddress management(JsonTree config, String variable)
      throws ConfigException {
    boolean set = variable != null || config.get("management").text(null) != null;
    return set ? address(config, "management", variable) : null;
  }

  private static long seed(JsonTree seed) throws ConfigException {
    String text = seed.text(null);
    if (text == null) {
      throw new ConfigException("field config.seed is missing");
    }
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new ConfigException("field config.seed is no hexadecimal number of 64 bits");
    }
  }
}
