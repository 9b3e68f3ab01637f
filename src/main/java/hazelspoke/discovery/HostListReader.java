package hazelspoke.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import hazelspoke.core.HostLimit;
import hazelspoke.core.HostList;
import hazelspoke.core.Names;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ternscale.adapter.JsonTree;

/**
 * Parses discovery's JSON objects incrementally. An entry is returned as soon as it is complete,
 * even if its object never ends; the version advances only with a complete object.
 */
public final class HostListReader {
  /** Nesting depth of the object on a line; below it are its list and the list's entries. */
  private static final int LINE_DEPTH = 1;

  private static final int LIST_DEPTH = 2;
  private static final int ENTRY_DEPTH = 3;

  /** Limit of one JSON string, including those of fields that are ignored. */
  private static final int MAX_STRING_CHARS = 16_384;

  private static final int MAX_FIELD_NAME_CHARS = 1_024;

  private static final int MAX_NUMBER_CHARS = 64;

  private static final int MAX_DEPTH = 32;

  /**
   * Keeps no table of field names, which would grow with each new name for as long as a watch
   * lasts.
   */
  private static final JsonFactory JSON =
      new JsonFactoryBuilder()
          .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxStringLength(MAX_STRING_CHARS)
                  .maxNameLength(MAX_FIELD_NAME_CHARS)
                  .maxNumberLength(MAX_NUMBER_CHARS)
                  .maxNestingDepth(MAX_DEPTH)
                  .build())
          .build();

  private final Names names;
  private final JsonParser parser;
  private final List<HostList.Listed> lineHosts = new ArrayList<>();
  private final Map<String, Object> entryFields = new HashMap<>();
  private int depth;
  private boolean inList;
  private String field;
  private boolean isSnapshot;
  private long version;
  private int returnedCount;

  public HostListReader(Names names) throws IOException {
    this.names = names;
    parser = JSON.createNonBlockingByteArrayParser();
  }

  /**
   * Parses bytes and returns what they completed: objects, and last the complete entries of an
   * object that is still open, as changes without a version ({@code version} of -1).
   *
   * @throws IOException if the bytes are not valid JSON, or beyond a limit
   * @throws ternscale.adapter.WireException if an entry is invalid
   */
  public List<HostList.Update> feed(byte[] bytes) throws IOException {
    List<HostList.Update> updates = new ArrayList<>();
    ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, 0, bytes.length);
    JsonToken token;
    while ((token = parser.nextToken()) != null && token != JsonToken.NOT_AVAILABLE) {
      onToken(token, updates);
    }
    if (lineHosts.size() > returnedCount) {
      updates.add(
          new HostList.Update(
              false, -1, List.copyOf(lineHosts.subList(returnedCount, lineHosts.size()))));
      returnedCount = lineHosts.size();
    }
    return updates;
  }

  /** Whether the bytes so far are complete lines, of which the last may be empty. */
  boolean isBetweenLines() {
    return depth == 0;
  }

  private void onToken(JsonToken token, List<HostList.Update> updates) throws IOException {
    switch (token) {
      case START_OBJECT, START_ARRAY -> {
        depth++;
        if (depth == LINE_DEPTH) {
          startLine();
        } else if (depth == LIST_DEPTH) {
          inList = token == JsonToken.START_ARRAY && field.equals("endpoints");
        } else if (depth == ENTRY_DEPTH) {
          entryFields.clear();
        }
      }
      case END_OBJECT, END_ARRAY -> {
        if (depth == ENTRY_DEPTH && inList) {
          HostList.Listed host = HostListJson.entry(JsonTree.of("endpoints", entryFields), names);
          if (host != null) {
            addHost(host);
          }
        } else if (depth == LIST_DEPTH) {
          inList = false;
        } else if (depth == LINE_DEPTH) {
          updates.add(new HostList.Update(isSnapshot, version, List.copyOf(lineHosts)));
          startLine();
        }
        depth--;
      }
      case FIELD_NAME -> field = parser.currentName();
      default -> onValue(token);
    }
  }

  private void addHost(HostList.Listed host) throws IOException {
    if (lineHosts.size() == HostLimit.MAX_HOSTS) {
      throw new IOException("a list has more than " + HostLimit.MAX_HOSTS + " hosts");
    }
    lineHosts.add(host);
  }

  private void startLine() {
    lineHosts.clear();
    returnedCount = 0;
    inList = false;
    field = "";
    isSnapshot = false;
    version = 0;
  }

  private void onValue(JsonToken token) throws IOException {
    if (depth == ENTRY_DEPTH && inList) {
      if (!HostListJson.FIELDS.contains(field)) {
        return;
      }
      Object value =
          switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
          };
      entryFields.put(field, value);
    } else if (depth == LINE_DEPTH && field.equals("index") && token.isNumeric()) {
      version = parser.getLongValue();
    } else if (depth == LINE_DEPTH && field.equals("snapshot")) {
      isSnapshot = token == JsonToken.VALUE_TRUE;
    } else if (depth == 0) {
      throw new IOException("a line of discovery is not a JSON object");
    }
  }
}
