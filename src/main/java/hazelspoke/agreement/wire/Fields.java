package hazelspoke.agreement.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Typed access to the fields of a decoded map. Unknown fields are ignored. */
public final class Fields {
  private final Map<?, ?> map;

  Fields(Map<?, ?> map) {
    this.map = map;
  }

  public boolean has(String name) {
    return map.containsKey(name);
  }

  /**
   * Reads an integer.
   *
   * @throws MalformedException if the field is missing or has another type; the other methods throw
   *     it for the same reason
   */
  public long number(String name) throws MalformedException {
    return get(name, Long.class);
  }

  /** An integer from 0 to {@link Integer#MAX_VALUE}. */
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
        throw new MalformedException(name + " is not a list of maps");
      }
      out.add(new Fields(fields));
    }
    return out;
  }

  public List<String> texts(String name) throws MalformedException {
    List<String> out = new ArrayList<>();
    for (Object item : get(name, List.class)) {
      if (!(item instanceof String text)) {
        throw new MalformedException(name + " is not a list of strings");
      }
      out.add(text);
    }
    return out;
  }

  /** A constant of an enum, by its name. */
  public <E extends Enum<E>> E enumValue(String name, Class<E> type) throws MalformedException {
    String text = text(name);
    for (E value : type.getEnumConstants()) {
      if (value.name().equals(text)) {
        return value;
      }
    }
    throw new MalformedException(name + " has an unknown value: " + text);
  }

  private <T> T get(String name, Class<T> type) throws MalformedException {
    Object value = map.get(name);
    if (!type.isInstance(value)) {
      throw new MalformedException("field " + name + " is missing or has another type");
    }
    return type.cast(value);
  }
}
