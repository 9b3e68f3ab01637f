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

/** Encodes maps of text, integers, booleans, bytes, lists and maps as CBOR, and decodes them. */
public final class Cbor {
  /**
   * Maximum number of values in one message; a message can have a value per byte, and each takes
   * far more in the heap.
   */
  static final int MAX_VALUES = 50_000;

  private static final int MAX_NESTING_DEPTH = 12;

  private static final CBORFactory FACTORY =
      CBORFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
          .build();

  private Cbor() {}

  /**
   * Encodes a map whose values are strings, integers, booleans, byte arrays, and lists and maps of
   * these.
   *
   * @throws IllegalArgumentException for a value of another type
   */
  public static byte[] write(Map<String, ?> map) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(128);
    try (JsonGenerator generator = FACTORY.createGenerator(out)) {
      writeValue(generator, map);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return out.toByteArray();
  }

  private static void writeValue(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      out.writeStartObject();
      for (Map.Entry<?, ?> field : map.entrySet()) {
        out.writeFieldName((String) field.getKey());
        writeValue(out, field.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof List<?> list) {
      out.writeStartArray();
      for (Object item : list) {
        writeValue(out, item);
      }
      out.writeEndArray();
    } else if (value instanceof String text) {
      out.writeString(text);
    } else if (value instanceof byte[] bytes) {
      out.writeBinary(bytes);
    } else if (value instanceof Boolean bool) {
      out.writeBoolean(bool);
    } else if (value instanceof Integer || value instanceof Long) {
      out.writeNumber(((Number) value).longValue());
    } else {
      throw new IllegalArgumentException("type of value is not supported: " + value);
    }
  }

  /**
   * Decodes a map.
   *
   * @throws MalformedException if the bytes are not a CBOR map, or exceed the limits on values and
   *     nesting
   */
  public static Fields read(byte[] bytes) throws MalformedException {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedException("not a CBOR map");
      }
      return new Fields(readMap(parser, new int[] {MAX_VALUES}));
    } catch (IOException e) {
      throw new MalformedException("invalid CBOR: " + e.getMessage());
    }
  }

  private static Map<String, Object> readMap(JsonParser in, int[] valuesLeft)
      throws IOException, MalformedException {
    Map<String, Object> out = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      out.put(name, readValue(in, valuesLeft));
    }
    return out;
  }

  private static Object readValue(JsonParser in, int[] valuesLeft)
      throws IOException, MalformedException {
    if (--valuesLeft[0] < 0) {
      throw new MalformedException("more than " + MAX_VALUES + " values");
    }
    JsonToken token = in.currentToken();
    if (token == null) {
      throw new MalformedException("the message is truncated");
    }
    switch (token) {
      case START_OBJECT -> {
        return readMap(in, valuesLeft);
      }
      case START_ARRAY -> {
        List<Object> out = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          out.add(readValue(in, valuesLeft));
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
      default -> throw new MalformedException("unsupported type of value: " + token);
    }
  }
}
