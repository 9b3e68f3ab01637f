package hazelspoke.agreement.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR to and from maps of text, numbers, booleans, bytes, lists and maps. */
public final class Cbor {
  /** The most values in one message, so that one byte a value cannot fill the heap. */
  static final int MAX_VALUES = 50_000;

  private static final int MAX_NESTING_DEPTH = 12;

  private static final CBORFactory FACTORY =
      CBORFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
          .build();

  private Cbor() {}

  /**
   * Writes a map whose values are texts, whole numbers, booleans, bytes, and lists and maps of
   * these.
   *
   * @throws IllegalArgumentException for a value of another kind
   */
  public static byte[] write(Map<String, ?> map) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(128);
    try (JsonGenerator generator = FACTORY.createGenerator(out)) {
      value(generator, map);
    } catch (IOException e) {
      throw new UncheckedIOException("memory does not fail", e);
    }
    return out.toByteArray();
  }

  private static void value(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      out.writeStartObject();
      for (Map.Entry<?, ?> field : map.entrySet()) {
        out.writeFieldName((String) field.getKey());
        value(out, field.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof List<?> list) {
      out.writeStartArray();
      for (Object item : list) {
        value(out, item);
      }
      out.writeEndArray();
    } else if (value instanceof String text) {
      out.writeString(text);
    } else if (value instanceof byte[] bytes) {
      out.writeBinary(bytes);
    } else if (value instanceof Boolean truth) {
      out.writeBoolean(truth);
    } else if (value instanceof Integer || value instanceof Long) {
      out.writeNumber(((Number) value).longValue());
    } else {
      throw new IllegalArgumentException("no value to write: " + value);
    }
  }

  /**
   * Reads a map.
   *
   * @throws MalformedException if it is none, or larger than any that is written here
   */
  public static Fields read(byte[] bytes) throws MalformedException {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedException("no map");
      }
      return new Fields(map(parser, new int[] {MAX_VALUES}));
    } catch (IOException e) {
      throw new MalformedException("no CBOR: " + e.getMessage());
    }
  }

  private static Map<String, Object> map(JsonParser in, int[] left)
      throws IOException, MalformedException {
    Map<String, Object> out = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      out.put(name, value(in, left));
    }
    return out;
  }

  private static Object value(JsonParser in, int[] left) throws IOException, MalformedException {
    if (--left[0] < 0) {
      throw new MalformedException("more than " + MAX_VALUES + " values");
    }
    JsonToken token = in.currentToken();
    if (token == null) {
      throw new MalformedException("it ends too early");
    }
    switch (token) {
      case START_OBJECT -> {
        return map(in, left);
      }
      case START_ARRAY -> {
        List<Object> out = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          out.add(value(in, left));
        }
        return out;
      }
      case VALUE_STRING -> {
        return in.getText();
      }
      case VALUE_NUMBER_INT -> {
        return in.getLongValue();
      }
      case VALUE_TRUE -> {
        return Boolean.TRUE;
      }
      case VALUE_FALSE -> {
        return Boolean.FALSE;
      }
      case VALUE_EMBEDDED_OBJECT -> {
        return in.getBinaryValue();
      }
      default -> throw new MalformedException("a value of an unknown kind: " + token);
    }
  }
}
