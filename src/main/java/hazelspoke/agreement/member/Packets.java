package hazelspoke.agreement.member;

import hazelspoke.agreement.feed.Feed;
import hazelspoke.agreement.feed.FeedSubscriber;
import hazelspoke.agreement.wire.Cbor;
import java.util.LinkedHashMap;
import java.util.Map;

/** The kinds of packets between members, and their common encoding. */
final class Packets {
  /** A Raft message from one voter's engine to another's. */
  static final String RAFT = "raft";

  /** Asks a voter for its store id and for the founders. */
  static final String WHO = "who";

  /** The response to {@link #WHO}. */
  static final String IAM = "iam";

  /** A call to the leader. */
  static final String CALL = "call";

  /** The response to {@link #CALL}. */
  static final String REPLY = "reply";

  /** Invites a member to become a voter, and names the founders. */
  static final String INVITE = "invite";

  /** Reports the index up to which an invited member has the record. */
  static final String FILLED = "filled";

  /** Subscribes to a voter's feed; see {@link hazelspoke.agreement.feed}. */
  static final String FOLLOW = FeedSubscriber.FOLLOW;

  static final String ENTRIES = Feed.ENTRIES;

  static final String PIECE = Feed.PIECE;

  private Packets() {}

  /** Returns the fields of a new packet of this kind, to which the caller adds its own. */
  static Map<String, Object> ofKind(String kind) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", kind);
    return out;
  }

  static byte[] raft(String toVoterId, byte[] message) {
    Map<String, Object> out = ofKind(RAFT);
    out.put("to", toVoterId);
    out.put("message", message);
    return Cbor.write(out);
  }
}
