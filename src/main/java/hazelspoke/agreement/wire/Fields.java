package hazelspoke.agreement.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The fields of one map that was read; those that nobody asks for are left alone. */
public final class Fields {
  private final Map<?, ?> map;

  Fields(Map<?, ?> map) {
    this.map = map;
  }

  public boolean has(String name) {
    return map.containsKey(name);
  }

  /**
   * @throws MalformedException if there is none; so with all that follow
   */
  public long number(String name) throws MalformedException {
    return get(name, Long.class);
  }

  /** A number from 0 to the highest int. */
  public int nonNegativeInt(String name) throws MalformedException {
    long number = number(name);
    if (number < 0 || number > Integer.MAX_VALUE) {
      throw new MalformedException(name + " is out of range: " + number);
    }
    return (int) number;
  }

  public String text(String name) throws MalformedException {
    return get(name, String.class);
  }

  public boolean bool(String name) throws MalformedException {
    return get(name, Boolean.class);
  }

  public byte[] bytes(String name) throws MalformedException {
    return get(name, byte[].class);
  }

  public Fields fields(String name) throws MalformedException {
    return new Fields(get(name, Map.class));
  }

  public List<Fields> list(String name) throws MalformedException {
    List<Fields> out = new ArrayList<>();
    for (Object item : get(name, List.class)) {
      if (!(item instanceof Map<?, ?> fields)) {
        throw new MalformedException(name + " is no list of maps");
      }
      out.add(new Fields(fields));
    }
    return out;
  }

  public List<String> texts(String name) throws MalformedException {
    List<String> out = new ArrayList<>();
    for (Object item : get(name, List.class)) {
      if (!(item instanceof String text)) {
        throw new MalformedException(name + " is no list of texts");
      }
      out.add(text);
    }
    return out;
  }

  /** One of the names of an enum. */
  public <E extends Enum<E>> E enumValue(String name, Class<E> of) throws MalformedException {
    String text = text(name);
    for (E value : of.getEnumConstants()) {
      if (value.name().equals(text)) {
        return value;
      }
    }
    throw new MalformedException(name + " is unknown: " + text);
  }

  private <T> T get(String name, Class<T> type) throws MalformedException {
    Object value = map.get(name);
    if (!type.isInstance(value)) {
      throw new MalformedException("field " + name + " is missing or of another kind");
    }
    return type.cast(value);
  }
}
