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
 * The configuration of a gateway: the file that NODE_CONFIG names, and the environment.
 *
 * @param classes the classes of the settings, by their index there
 * @param file the file's content without the list of hosts
 * @param memoryMb the memory limit of the process, in megabytes; 0 if it is not told
 * @param management address of the management listener; null if none is configured
 * @param known the list of hosts in the file
 */
record GatewayConfig(
    InetSocketAddress listen,
    InetSocketAddress management,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    int memoryMb,
    int openCap,
    HostList.Update known,
    Settings settings,
    Names names,
    ClassRegistry classes,
    JsonTree file) {
  private static final int DEFAULT_SOCKETS = 1_024;

  /**
   * Reads new settings for a running gateway. Stricter than at the start, where missing fields take
   * defaults: every field that the present configuration has is required.
   */
  GatewayConfig reread(Map<String, String> environment) throws ConfigException {
    GatewayConfig reloaded = read(environment);
    try {
      reloaded.file.requireKeysOf(file);
    } catch (WireException e) {
      throw new ConfigException(e.getMessage());
    }
    return reloaded;
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
          "the file that NODE_CONFIG names is not valid JSON: " + e.getOriginalMessage());
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
          // The file has priority: a reload replaces the file, but not the environment.
          address(
              config, "discovery", config.get("discovery").text(environment.get("NODE_DISCOVERY"))),
          seed(config.get("seed")),
          config.get("limits").get("sockets").integer(DEFAULT_SOCKETS),
          config.get("limits").get("memory_mb").integer(0),
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
        strings(settings.get("grades"), "name"),
        strings(settings.get("tenants"), "name"),
        strings(settings.get("areas")),
        strings(settings.get("kinds")),
        strings(settings.get("report").get("columns")));
  }

  private static List<String> strings(JsonTree list, String key) {
    List<String> out = new ArrayList<>();
    for (JsonTree item : list.list()) {
      out.add(item.get(key).text(""));
    }
    return List.copyOf(out);
  }

  private static List<String> strings(JsonTree list) {
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
      throw new ConfigException("field config." + key + " is not an address with a port: " + text);
    }
    return address;
  }

  private static InetSocketAddress management(JsonTree config, String variable)
      throws ConfigException {
    boolean isSet = variable != null || config.get("management").text(null) != null;
    return isSet ? address(config, "management", variable) : null;
  }

  private static long seed(JsonTree seed) throws ConfigException {
    String text = seed.text(null);
    if (text == null) {
      throw new ConfigException("field config.seed is missing");
    }
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new ConfigException("field config.seed is not a 64-bit hexadecimal number");
    }
  }
}
