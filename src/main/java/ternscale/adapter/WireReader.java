package ternscale.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamReadException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;

/**
 * Reads the messages of the wire protocol. Values are stored in reused slots, one per field name; a
 * value of the wrong type is an error only if the message needs that field.
 */
final class WireReader {
  private static final int ABSENT = 0;
  private static final int TEXT = 1;
  private static final int NUMBER = 2;
  private static final int FLAG = 3;
  private static final int OTHER = 4;

  /** The fields of events, except settings, entries and reports, which have separate slots. */
  enum Field {
    MSG("msg"),
    WHO("who"),
    SIM_TIME("sim_time"),
    FRAME("frame"),
    RANDOM_SEED("random_seed"),
    SCOPE("scope"),
    INDEX("index"),
    CALL("call"),
    LANE("lane"),
    CLIENT_DEADLINE("client_deadline"),
    UPDATE("update"),
    PROJECT("project"),
    ESTIMATE("estimate"),
    RETRY("retry"),
    ENTITY("entity"),
    SENDER("sender"),
    DATA("data"),
    HOST("host"),
    CODE("code"),
    TIME_TAKEN("time_taken"),
    CLOSED("closed"),
    SHOT("shot"),
    NAME("name");

    final String key;

    Field(String key) {
      this.key = key;
    }
  }

  private static final Field[] FIELDS = Field.values();

  private final JsonParser parser;
  private final int[] valueTypes = new int[FIELDS.length];
  private final String[] texts = new String[FIELDS.length];
  private final double[] numbers = new double[FIELDS.length];
  private final long[] integers = new long[FIELDS.length];
  private final boolean[] isWholeNumber = new boolean[FIELDS.length];
  private JsonTree settings;
  private List<HostEntry> entries;
  private boolean hasReport;
  private boolean isReportInvalid;
  private final List<Double> report = new ArrayList<>();
  private int line;

  WireReader(InputStream in) throws IOException {
    JsonFactory factory =
        JsonFactory.builder()
            .streamReadConstraints(
                StreamReadConstraints.builder()
                    .maxDocumentLength(-1)
                    .maxNameLength(1 << 20)
                    .build())
            .build();
    parser = factory.createParser(in);
  }

  /** Reads the next message; false at the end of the input. */
  boolean next() throws IOException {
    try {
      JsonToken t = parser.nextToken();
      if (t == null) {
        return false;
      }
      line = parser.currentTokenLocation().getLineNr();
      if (t != JsonToken.START_OBJECT) {
        throw error("the value is not a JSON object");
      }
      readFields();
      return true;
    } catch (StreamReadException e) {
      throw new WireException(
          "line " + e.getLocation().getLineNr() + ": invalid JSON: " + e.getOriginalMessage());
    } catch (java.io.CharConversionException e) {
      throw new WireException("line " + (line + 1) + ": invalid JSON: " + e.getMessage());
    }
  }

  private void readFields() throws IOException {
    java.util.Arrays.fill(valueTypes, ABSENT);
    settings = null;
    entries = null;
    hasReport = false;
    isReportInvalid = false;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      JsonToken t = parser.nextToken();
      switch (key) {
        case "settings" -> settings = JsonTree.read(parser);
        case "rows_in" -> readEntries(t);
        case "report" -> readReport(t);
        default -> readField(key, t);
      }
    }
  }

  private static Field field(String key) {
    return switch (key) {
      case "msg" -> Field.MSG;
      case "who" -> Field.WHO;
      case "sim_time" -> Field.SIM_TIME;
      case "frame" -> Field.FRAME;
      case "random_seed" -> Field.RANDOM_SEED;
      case "scope" -> Field.SCOPE;
      case "index" -> Field.INDEX;
      case "call" -> Field.CALL;
      case "lane" -> Field.LANE;
      case "client_deadline" -> Field.CLIENT_DEADLINE;
      case "update" -> Field.UPDATE;
      case "project" -> Field.PROJECT;
      case "estimate" -> Field.ESTIMATE;
      case "retry" -> Field.RETRY;
      case "entity" -> Field.ENTITY;
      case "sender" -> Field.SENDER;
      case "data" -> Field.DATA;
      case "host" -> Field.HOST;
      case "code" -> Field.CODE;
      case "time_taken" -> Field.TIME_TAKEN;
      case "closed" -> Field.CLOSED;
      case "shot" -> Field.SHOT;
      case "name" -> Field.NAME;
      default -> null;
    };
  }

  private void readField(String key, JsonToken t) throws IOException {
    Field f = field(key);
    if (f == null) {
      parser.skipChildren();
      return;
    }
    int i = f.ordinal();
    switch (t) {
      case VALUE_NULL -> valueTypes[i] = ABSENT;
      case VALUE_STRING -> {
        valueTypes[i] = TEXT;
        texts[i] = parser.getText();
      }
      case VALUE_NUMBER_INT -> {
        valueTypes[i] = NUMBER;
        isWholeNumber[i] = parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
        integers[i] = isWholeNumber[i] ? parser.getLongValue() : 0;
        numbers[i] = parser.getDoubleValue();
      }
      case VALUE_NUMBER_FLOAT -> {
        valueTypes[i] = NUMBER;
        numbers[i] = parser.getDoubleValue();
        integers[i] = (long) numbers[i];
        isWholeNumber[i] = integers[i] == numbers[i];
      }
      case VALUE_TRUE, VALUE_FALSE -> {
        valueTypes[i] = FLAG;
        integers[i] = t == JsonToken.VALUE_TRUE ? 1 : 0;
      }
      default -> {
        valueTypes[i] = OTHER;
        parser.skipChildren();
      }
    }
  }

  private void readReport(JsonToken t) throws IOException {
    report.clear();
    if (t == JsonToken.VALUE_NULL) {
      return;
    }
    hasReport = true;
    if (t != JsonToken.START_ARRAY) {
      isReportInvalid = true;
      parser.skipChildren();
      return;
    }
    while ((t = parser.nextToken()) != JsonToken.END_ARRAY) {
      if (t == JsonToken.VALUE_NULL) {
        report.add(Double.NaN);
      } else if (t.isNumeric()) {
        report.add(parser.getDoubleValue());
      } else {
        isReportInvalid = true;
        parser.skipChildren();
      }
    }
  }

  private void readEntries(JsonToken t) throws IOException {
    if (t == JsonToken.VALUE_NULL) {
      return;
    }
    if (t != JsonToken.START_ARRAY) {
      throw error("field rows_in is not an array");
    }
    entries = new ArrayList<>();
    while ((t = parser.nextToken()) != JsonToken.END_ARRAY) {
      if (t != JsonToken.START_OBJECT) {
        throw error("field rows_in has an element that is not an object");
      }
      entries.add(readEntry());
    }
  }

  private HostEntry readEntry() throws IOException {
    String host = null;
    double weight = 1;
    int kind = 0;
    int zone = 0;
    int cell = 0;
    double startedAt = 0;
    Availability availability = null;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      JsonToken t = parser.nextToken();
      if (t == JsonToken.VALUE_NULL) {
        continue;
      }
      switch (key) {
        case "host" -> host = entryText(key, t);
        case "availability" -> availability = availability(entryText(key, t));
        case "weight" -> weight = entryNumber(key, t);
        case "ready_at" -> startedAt = entryNumber(key, t);
        case "hw" -> kind = entryInt(key, t);
        case "zone" -> zone = entryInt(key, t);
        case "pod" -> cell = entryInt(key, t);
        default -> parser.skipChildren();
      }
    }
    if (host == null) {
      throw error("an entry of rows_in is missing field host");
    }
    if (availability == null) {
      throw error("the entry of " + host + " is missing field availability");
    }
    if (weight < 0) {
      throw error("field weight of an entry is negative");
    }
    return new HostEntry(host, weight, kind, zone, cell, availability, startedAt);
  }

  private String entryText(String key, JsonToken t) throws IOException {
    if (t != JsonToken.VALUE_STRING) {
      throw error("field " + key + " of an entry is not a string");
    }
    return parser.getText();
  }

  private double entryNumber(String key, JsonToken t) throws IOException {
    if (!t.isNumeric() || !Double.isFinite(parser.getDoubleValue())) {
      throw error("field " + key + " of an entry is not a finite number");
    }
    return parser.getDoubleValue();
  }

  private int entryInt(String key, JsonToken t) throws IOException {
    double value = entryNumber(key, t);
    if (value != (int) value || value < 0 || value > 1_000_000) {
      throw error("field " + key + " of an entry is not an integer from 0 to 1000000");
    }
    return (int) value;
  }

  private Availability availability(String value) {
    return switch (value) {
      case "on" -> Availability.UP;
      case "fading" -> Availability.DRAINING;
      case "off" -> Availability.GONE;
      default -> throw error("field availability of an entry has the unknown value " + value);
    };
  }

  String text(Field f) {
    require(f, TEXT, "string");
    return texts[f.ordinal()];
  }

  String textOr(Field f, String defaultValue) {
    return valueTypes[f.ordinal()] == ABSENT ? defaultValue : text(f);
  }

  double number(Field f) {
    require(f, NUMBER, "number");
    double value = numbers[f.ordinal()];
    if (!Double.isFinite(value)) {
      throw error("field " + f.key + " is out of range");
    }
    return value;
  }

  double numberOr(Field f, double defaultValue) {
    return valueTypes[f.ordinal()] == ABSENT ? defaultValue : number(f);
  }

  long integer(Field f) {
    require(f, NUMBER, "number");
    if (!isWholeNumber[f.ordinal()]) {
      throw error("field " + f.key + " is not an integer in range");
    }
    return integers[f.ordinal()];
  }

  int nonNegativeIntOr(Field f, int defaultValue) {
    return valueTypes[f.ordinal()] == ABSENT ? defaultValue : nonNegativeInt(f);
  }

  int nonNegativeInt(Field f) {
    long value = integer(f);
    if (value < 0 || value > Integer.MAX_VALUE) {
      throw error("field " + f.key + " is not an integer in range");
    }
    return (int) value;
  }

  boolean flag(Field f) {
    if (valueTypes[f.ordinal()] == ABSENT) {
      return false;
    }
    require(f, FLAG, "boolean");
    return integers[f.ordinal()] == 1;
  }

  JsonTree settings() {
    if (settings == null) {
      throw error("field settings is missing");
    }
    return settings;
  }

  List<HostEntry> entries() {
    return entries == null ? List.of() : entries;
  }

  List<Double> report() {
    if (isReportInvalid) {
      throw error("field report is not an array of numbers");
    }
    return hasReport ? List.copyOf(report) : List.of();
  }

  private void require(Field f, int expected, String typeName) {
    int actual = valueTypes[f.ordinal()];
    if (actual == ABSENT) {
      throw error("field " + f.key + " is missing");
    }
    if (actual != expected) {
      throw error("field " + f.key + " is not a " + typeName);
    }
  }

  WireException error(String what) {
    return new WireException("line " + line + ": " + what);
  }
}
