package hazelspoke.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import hazelspoke.core.HostList;
import hazelspoke.core.Names;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ternscale.adapter.JsonTree;

/**
 * Reads discovery's objects as their bytes come in. An entry counts as soon as it is whole, also in
 * an object that never ends; the version moves on only with a whole object.
 */
public final class HostListReader {
  /** The objects and the array that an entry lies in: the line, its list, the entry. */
  private static final int LINE_DEPTH = 1;

  private static final int LIST_DEPTH = 2;
  private static final int ENTRY_DEPTH = 3;

  private final Names names;
  private final JsonParser parser;
  private final List<HostList.Listed> line = new ArrayList<>();
  private final Map<String, Object> entry = new HashMap<>();
  private int depth;
  private boolean inList;
  private String field;
  private boolean complete;
  private long version;
  private int passedOn;

  public HostListReader(Names names) throws IOException {
    this.names = names;
    parser = new JsonFactory().createNonBlockingByteArrayParser();
  }

  /**
   * Takes bytes in and returns what they made whole: objects, and at the end the entries of one
   * that is still open, as changes without a version ({@code version} of -1).
   *
   * @throws IOException for what is no JSON
   * @throws ternscale.adapter.WireException for an entry that cannot be one
   */
  public List<HostList.Update> feed(byte[] bytes) throws IOException {
    List<HostList.Update> out = new ArrayList<>();
    ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, 0, bytes.length);
    JsonToken t;
    while ((t = parser.nextToken()) != null && t != JsonToken.NOT_AVAILABLE) {
      take(t, out);
    }
    if (line.size() > passedOn) {
      out.add(new HostList.Update(false, -1, List.copyOf(line.subList(passedOn, line.size()))));
      passedOn = line.size();
    }
    return out;
  }

  /** Whether all that was fed so far are whole lines, the last of them perhaps an empty one. */
  boolean isBetweenLines() {
    return depth == 0;
  }

  private void take(JsonToken t, List<HostList.Update> out) throws IOException {
    switch (t) {
      case START_OBJECT, START_ARRAY -> {
        depth++;
        if (depth == LINE_DEPTH) {
          startLine();
        } else if (depth == LIST_DEPTH) {
          inList = t == JsonToken.START_ARRAY && field.equals("endpoints");
        } else if (depth == ENTRY_DEPTH) {
          entry.clear();
        }
      }
      case END_OBJECT, END_ARRAY -> {
        if (depth == ENTRY_DEPTH && inList) {
          HostList.Listed host = HostListJson.entry(JsonTree.of("endpoints", entry), names);
          if (host != null) {
            line.add(host);
          }
        } else if (depth == LIST_DEPTH) {
          inList = false;
        } else if (depth == LINE_DEPTH) {
          out.add(new HostList.Update(complete, version, List.copyOf(line)));
          startLine();
        }
        depth--;
      }
      case FIELD_NAME -> field = parser.currentName();
      default -> value(t);
    }
  }

  private void startLine() {
    line.clear();
    passedOn = 0;
    inList = false;
    field = "";
    complete = false;
    version = 0;
  }

  private void value(JsonToken t) throws IOException {
    if (depth == ENTRY_DEPTH && inList) {
      Object value =
          switch (t) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
          };
      entry.put(field, value);
    } else if (depth == LINE_DEPTH && field.equals("index") && t.isNumeric()) {
      version = parser.getLongValue();
    } else if (depth == LINE_DEPTH && field.equals("snapshot")) {
      complete = t == JsonToken.VALUE_TRUE;
    } else if (depth == 0) {
      throw new IOException("a line of discovery's is no object");
    }
  }
}
