package hazelspoke.agreement.engine;

import hazelspoke.agreement.wire.MalformedException;
import io.microraft.RaftEndpoint;

/**
 * A voter, as votes and entries name it: a member with one data folder. Who comes back with another
 * folder is another voter, so that it can never vote a second time where the first one has voted.
 *
 * @param member its name in the fleet
 * @param storeId the folder's own name
 */
public record VoterId(String member, String storeId) implements RaftEndpoint {
  @Override
  public Object getId() {
    return toString();
  }

  /**
   * Reads what {@link #toString} has written.
   *
   * @throws MalformedException if it is none
   */
  public static VoterId parse(String text) throws MalformedException {
    int at = text.lastIndexOf('@');
    if (at < 1 || at == text.length() - 1) {
      throw new MalformedException("no voter: " + text);
    }
    return new VoterId(text.substring(0, at), text.substring(at + 1));
  }

  @Override
  public String toString() {
    return member + "@" + storeId;
  }
}
