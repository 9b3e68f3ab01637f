package hazelspoke.agreement.net;

import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The first frame of a connection, both ways.
 *
 * @param fleet its name
 * @param member who calls, or who was called; empty for an operator
 */
record Greeting(String fleet, String member) {
  /** Counts up with each change that an older program could not read. */
  private static final int VERSION = 1;

  byte[] bytes() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("pumicetray", VERSION);
    out.put("fleet", fleet);
    out.put("member", member);
    return Cbor.write(out);
  }

  static Greeting read(byte[] bytes) throws MalformedException {
    Fields in = Cbor.read(bytes);
    if (in.number("pumicetray") != VERSION) {
      throw new MalformedException("version " + in.number("pumicetray") + ", not " + VERSION);
    }
    return new Greeting(in.text("fleet"), in.text("member"));
  }
}
