package hazelspoke.agreement.member;

import hazelspoke.agreement.feed.Feed;
import hazelspoke.agreement.feed.FeedSubscriber;
import hazelspoke.agreement.wire.Cbor;
import java.util.LinkedHashMap;
import java.util.Map;

/** The packets between members: which they are, and how they are put together. */
final class Packets {
  /** One voter's engine to another's. */
  static final String RAFT = "raft";

  /** Asks a voter for its folder's name and for the founders. */
  static final String WHO = "who";

  static final String IAM = "iam";

  /** A call to whoever leads, and what became of it. */
  static final String CALL = "call";

  static final String REPLY = "reply";

  /** Tells a member that it is to be made a voter, and of the founders. */
  static final String INVITE = "invite";

  /** How far a member that was invited has been filled. */
  static final String FILLED = "filled";

  /** Says that a member follows a voter's feed; see {@link hazelspoke.agreement.feed}. */
  static final String FOLLOW = FeedSubscriber.FOLLOW;

  static final String ENTRIES = Feed.ENTRIES;

  static final String PIECE = Feed.PIECE;

  private Packets() {}

  /** The fields of one, to be added to. */
  static Map<String, Object> of(String kind) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", kind);
    return out;
  }

  static byte[] raft(String toHome, byte[] message) {
    Map<String, Object> out = of(RAFT);
    out.put("to", toHome);
    out.put("message", message);
    return Cbor.write(out);
  }
}
