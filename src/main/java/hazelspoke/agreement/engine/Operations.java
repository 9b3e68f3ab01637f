package hazelspoke.agreement.engine;

import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** Encodes and decodes the engine's log entries and snapshots, for the wire and for the disk. */
final class Operations {
  static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

  /** The field of an entry that is applied to the record; a membership change has none. */
  static final String COMMAND = "command";

  private Operations() {}

  /** The fields of an entry's operation: the bytes of a command, or a membership change. */
  static Map<String, Object> fields(Object operation) {
    Map<String, Object> out = new LinkedHashMap<>();
    if (operation instanceof UpdateRaftGroupMembersOp change) {
      out.put("change", change.getMode().name());
      out.put("endpoint", change.getEndpoint().toString());
      out.put("members", texts(change.getMembers()));
      out.put("voting", texts(change.getVotingMembers()));
    } else {
      out.put(COMMAND, operation);
    }
    return out;
  }

  static Object read(Fields in) throws MalformedException {
    if (in.has(COMMAND)) {
      return in.bytes(COMMAND);
    }
    return MODELS
        .createUpdateRaftGroupMembersOpBuilder()
        .setMode(in.enumValue("change", MembershipChangeMode.class))
        .setEndpoint(VoterId.parse(in.text("endpoint")))
        .setMembers(voters(in.texts("members")))
        .setVotingMembers(voters(in.texts("voting")))
        .build();
  }

  static LogEntry entry(long index, int term, Object operation) {
    return MODELS
        .createLogEntryBuilder()
        .setIndex(index)
        .setTerm(term)
        .setOperation(operation)
        .build();
  }

  static Map<String, Object> fields(LogEntry entry) {
    Map<String, Object> out = fields(entry.getOperation());
    out.put("index", entry.getIndex());
    out.put("term", entry.getTerm());
    return out;
  }

  static LogEntry entry(Fields in) throws MalformedException {
    return entry(in.number("index"), in.nonNegativeInt("term"), read(in));
  }

  /**
   * The fields of a snapshot, which always has one chunk; its index and term are stored beside
   * them.
   */
  static Map<String, Object> fields(SnapshotChunk chunk) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("state", chunk.getOperation());
    out.put("view", fields(chunk.getGroupMembersView()));
    return out;
  }

  static SnapshotChunk chunk(long index, int term, Fields in) throws MalformedException {
    return MODELS
        .createSnapshotChunkBuilder()
        .setIndex(index)
        .setTerm(term)
        .setOperation(in.bytes("state"))
        .setSnapshotChunkIndex(0)
        .setSnapshotChunkCount(1)
        .setGroupMembersView(view(in.fields("view")))
        .build();
  }

  static Map<String, Object> fields(RaftGroupMembersView view) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("index", view.getLogIndex());
    out.put("members", texts(view.getMembers()));
    out.put("voting", texts(view.getVotingMembers()));
    return out;
  }

  static RaftGroupMembersView view(Fields in) throws MalformedException {
    return view(in.number("index"), voters(in.texts("members")), voters(in.texts("voting")));
  }

  static RaftGroupMembersView view(
      long index, Collection<RaftEndpoint> members, Collection<RaftEndpoint> voting) {
    return MODELS
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(index)
        .setMembers(members)
        .setVotingMembers(voting)
        .build();
  }

  static List<String> texts(Collection<RaftEndpoint> voters) {
    List<String> out = new ArrayList<>();
    for (RaftEndpoint voter : voters) {
      out.add(voter.toString());
    }
    return out;
  }

  static Collection<RaftEndpoint> voters(List<String> texts) throws MalformedException {
    Collection<RaftEndpoint> out = new LinkedHashSet<>();
    for (String text : texts) {
      out.add(VoterId.parse(text));
    }
    return out;
  }

  static byte[] bytes(Map<String, Object> fields) {
    return Cbor.write(fields);
  }
}
