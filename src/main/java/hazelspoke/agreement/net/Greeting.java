package hazelspoke.agreement.net;

import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The first frame of a connection, both ways.
 *
 * @param fleet the name of the fleet
 * @param member the sender's member name; empty for an operator
 */
record Greeting(String fleet, String member) {
  /** Incremented with each change that an older version could not read. */
  private static final int PROTOCOL_VERSION = 1;

  byte[] bytes() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("pumicetray", PROTOCOL_VERSION);
    out.put("fleet", fleet);
    out.put("member", member);
    return Cbor.write(out);
  }

  static Greeting read(byte[] bytes) throws MalformedException {
    Fields in = Cbor.read(bytes);
    if (in.number("pumicetray") != PROTOCOL_VERSION) {
      throw new MalformedException(
          "protocol version " + in.number("pumicetray") + ", expected " + PROTOCOL_VERSION);
    }
    return new Greeting(in.text("fleet"), in.text("member"));
  }
}
