package ternscale.adapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON value with typed access, for small documents such as the settings of an instance. */
public final class JsonTree {
  private final String path;
  private final Object value;

  private JsonTree(String path, Object value) {
    this.path = path;
    this.value = value;
  }

  static JsonTree read(JsonParser parser) throws IOException {
    return read("settings", parser);
  }

  /** Reads the value at the parser's current token; errors refer to it as {@code path}. */
  public static JsonTree read(String path, JsonParser parser) throws IOException {
    return new JsonTree(path, readValue(parser));
  }

  /** Wraps a value that was parsed elsewhere: a map, list, string, double, boolean or null. */
  public static JsonTree of(String path, Object value) {
    return new JsonTree(path, value);
  }

  private static Object readValue(JsonParser parser) throws IOException {
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
          String key = parser.currentName();
          parser.nextToken();
          map.put(key, readValue(parser));
        }
        return map;
      }
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          list.add(readValue(parser));
        }
        return list;
      }
      case VALUE_STRING -> {
        return parser.getText();
      }
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
        return parser.getDoubleValue();
      }
      case VALUE_TRUE -> {
        return Boolean.TRUE;
      }
      case VALUE_FALSE -> {
        return Boolean.FALSE;
      }
      default -> {
        return null;
      }
    }
  }

  /** A member of this object; an absent member is a null value, which yields each default. */
  public JsonTree get(String key) {
    if (value == null) {
      return new JsonTree(path + "." + key, null);
    }
    if (!(value instanceof Map<?, ?> map)) {
      throw error("is not an object");
    }
    return new JsonTree(path + "." + key, map.get(key));
  }

  public List<JsonTree> list() {
    if (value == null) {
      return List.of();
    }
    if (!(value instanceof List<?> list)) {
      throw error("is not an array");
    }
    List<JsonTree> out = new ArrayList<>();
    for (int i = 0; i < list.size(); i++) {
      out.add(new JsonTree(path + "[" + i + "]", list.get(i)));
    }
    return out;
  }

  public double number(double defaultValue) {
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Double d) || !Double.isFinite(d)) {
      throw error("is not a number");
    }
    return d;
  }

  public int integer(int defaultValue) {
    double d = number(defaultValue);
    if (d != (int) d) {
      throw error("is not an integer");
    }
    return (int) d;
  }

  public boolean flag(boolean defaultValue) {
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Boolean b)) {
      throw error("is not a boolean");
    }
    return b;
  }

  public String text(String defaultValue) {
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof String s)) {
      throw error("is not a string");
    }
    return s;
  }

  /** This object without one of its members. */
  public JsonTree without(String key) {
    if (!(value instanceof Map<?, ?> map)) {
      return this;
    }
    Map<Object, Object> remaining = new LinkedHashMap<>(map);
    remaining.remove(key);
    return new JsonTree(path, remaining);
  }

  /**
   * Checks that this value has all members of {@code model}, at any depth. Each object of an array
   * needs the members that all objects of the model's array have in common.
   *
   * @throws WireException naming the first member that is missing or null
   */
  public void requireKeysOf(JsonTree model) {
    if (model.value instanceof Map<?, ?> keys) {
      for (Object key : keys.keySet()) {
        JsonTree member = get((String) key);
        JsonTree modelMember = model.get((String) key);
        if (member.value == null && modelMember.value != null) {
          throw member.error("is missing");
        }
        member.requireKeysOf(modelMember);
      }
    } else if (model.value instanceof List<?>) {
      for (JsonTree item : list()) {
        item.requireKeysOf(model.commonMembers());
      }
    }
  }

  /** The members that all objects of this array have in common. */
  private JsonTree commonMembers() {
    Map<?, ?> common = null;
    for (JsonTree item : list()) {
      Map<?, ?> map = item.value instanceof Map<?, ?> m ? m : Map.of();
      if (common == null) {
        common = new LinkedHashMap<>(map);
      } else {
        common.keySet().retainAll(map.keySet());
      }
    }
    return new JsonTree(path, common == null ? Map.of() : common);
  }

  public WireException error(String what) {
    return new WireException("field " + path + " " + what);
  }
}
