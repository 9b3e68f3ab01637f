package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.VoterId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How a record begins, once: the first voter of the list waits until it has heard of the folder of
 * each, all of them new, and writes down whose votes count at the beginning. The others take that
 * over from anybody who has it. Who finds a record founded with another folder under its name does
 * not vote; it waits to be made a voter, as its first folder may have voted.
 */
final class Bootstrap {
  private final List<String> voters;
  private final VoterId self;
  private final Map<String, String> storeIds = new HashMap<>();

  Bootstrap(List<String> voters, VoterId self) {
    this.voters = voters;
    this.self = self;
    storeIds.put(self.member(), self.home());
  }

  /**
   * Hears of a voter whose folder knows of no record.
   *
   * @return the founders, if they are to be written down now; else empty
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

  /** Whom the first voter has not heard of; for the others the first voter. */
  List<String> missing() {
    if (!voters.get(0).equals(self.member())) {
      return voters.subList(0, 1);
    }
    return voters.stream().filter(v -> !storeIds.containsKey(v)).toList();
  }
}
