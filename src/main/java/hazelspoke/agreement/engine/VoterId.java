package hazelspoke.agreement.engine;

import hazelspoke.agreement.wire.MalformedException;
import io.microraft.RaftEndpoint;

/**
 * Identifies a voter in votes and entries: a member together with its data directory. A member that
 * comes back with another directory is a different voter, so that it can never vote a second time
 * in a term.
 *
 * @param member the member's name in the fleet
 * @param storeId the id of the data directory
 */
public record VoterId(String member, String storeId) implements RaftEndpoint {
  @Override
  public Object getId() {
    return toString();
  }

  /**
   * Parses the format of {@link #toString}.
   *
   * @throws MalformedException if the text is not of the form MEMBER@STORE
   */
  public static VoterId parse(String text) throws MalformedException {
    int at = text.lastIndexOf('@');
    if (at < 1 || at == text.length() - 1) {
      throw new MalformedException("not a voter id: " + text);
    }
    return new VoterId(text.substring(0, at), text.substring(at + 1));
  }

  @Override
  public String toString() {
    return member + "@" + storeId;
  }
}
