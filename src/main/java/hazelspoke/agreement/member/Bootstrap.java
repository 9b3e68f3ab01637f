package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.VoterId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Creates the record, once. The first voter of the list waits until it knows the store id of every
 * voter, all of them with new stores, and writes down the initial voters, the founders. The others
 * take the founders over from any voter that has them. A voter that finds another store id under
 * its name among the founders does not vote, as its earlier store may have voted; it waits until it
 * is made a voter.
 */
final class Bootstrap {
  private final List<String> voters;
  private final VoterId self;
  private final Map<String, String> storeIds = new HashMap<>();

  Bootstrap(List<String> voters, VoterId self) {
    this.voters = voters;
    this.self = self;
    storeIds.put(self.member(), self.storeId());
  }

  /**
   * Registers a voter whose store has no record.
   *
   * @return the founders if they are complete and this member writes them down; else empty
   */
  List<VoterId> learnNewVoter(String member, String storeId) {
    storeIds.put(member, storeId);
    if (!voters.get(0).equals(self.member()) || !storeIds.keySet().containsAll(voters)) {
      return List.of();
    }
    List<VoterId> founders = new ArrayList<>();
    for (String voter : voters) {
      founders.add(new VoterId(voter, storeIds.get(voter)));
    }
    return founders;
  }

  /** Returns the voters that the first voter still waits for; for others, the first voter. */
  List<String> missing() {
    if (!voters.get(0).equals(self.member())) {
      return voters.subList(0, 1);
    }
    return voters.stream().filter(v -> !storeIds.containsKey(v)).toList();
  }
}
