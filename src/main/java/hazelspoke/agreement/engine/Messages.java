package hazelspoke.agreement.engine;

import static hazelspoke.agreement.engine.Operations.MODELS;

import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes and decodes the engine's messages. */
final class Messages {
  private Messages() {}

  static byte[] write(RaftMessage message) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("sender", message.getSender().toString());
    out.put("term", message.getTerm());
    if (message instanceof AppendEntriesRequest m) {
      append(out, m);
    } else if (message instanceof AppendEntriesSuccessResponse m) {
      out.put("is", "appended");
      out.put("last", m.getLastLogIndex());
      flowControl(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesFailureResponse m) {
      out.put("is", "notAppended");
      out.put("next", m.getExpectedNextIndex());
      flowControl(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
    } else if (message instanceof PreVoteRequest m) {
      out.put("is", "preVote");
      logPosition(out, m.getLastLogTerm(), m.getLastLogIndex());
    } else if (message instanceof PreVoteResponse m) {
      out.put("is", "preVoted");
      out.put("granted", m.isGranted());
    } else if (message instanceof VoteRequest m) {
      out.put("is", "vote");
      logPosition(out, m.getLastLogTerm(), m.getLastLogIndex());
      out.put("sticky", m.isSticky());
    } else if (message instanceof VoteResponse m) {
      out.put("is", "voted");
      out.put("granted", m.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest m) {
      out.put("is", "elect");
      logPosition(out, m.getLastLogTerm(), m.getLastLogIndex());
    } else if (message instanceof InstallSnapshotRequest m) {
      install(out, m);
    } else if (message instanceof InstallSnapshotResponse m) {
      out.put("is", "installed");
      out.put("snapshot", m.getSnapshotIndex());
      out.put("piece", m.getRequestedSnapshotChunkIndex());
      flowControl(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
    } else {
      throw new IllegalArgumentException("unknown type of message: " + message);
    }
    return Cbor.write(out);
  }

  private static void append(Map<String, Object> out, AppendEntriesRequest m) {
    out.put("is", "append");
    logPosition(out, m.getPreviousLogTerm(), m.getPreviousLogIndex());
    out.put("commit", m.getCommitIndex());
    List<Map<String, Object>> entries = new ArrayList<>();
    for (LogEntry entry : m.getLogEntries()) {
      entries.add(Operations.fields(entry));
    }
    out.put("entries", entries);
    flowControl(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
  }

  private static void install(Map<String, Object> out, InstallSnapshotRequest m) {
    out.put("is", "install");
    out.put("fromLeader", m.isSenderLeader());
    logPosition(out, m.getSnapshotTerm(), m.getSnapshotIndex());
    out.put("pieces", m.getTotalSnapshotChunkCount());
    if (m.getSnapshotChunk() != null) {
      out.put("piece", Operations.fields(m.getSnapshotChunk()));
    }
    out.put("have", Operations.texts(m.getSnapshottedMembers()));
    out.put("view", Operations.fields(m.getGroupMembersView()));
    flowControl(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
  }

  private static void logPosition(Map<String, Object> out, int term, long index) {
    out.put("logTerm", term);
    out.put("logIndex", index);
  }

  private static void flowControl(Map<String, Object> out, long query, long flow) {
    out.put("query", query);
    out.put("flow", flow);
  }

  static RaftMessage read(byte[] bytes, Object groupId) throws MalformedException {
    Fields in = Cbor.read(bytes);
    RaftEndpoint sender = VoterId.parse(in.text("sender"));
    int term = in.nonNegativeInt("term");
    return switch (in.text("is")) {
      case "append" -> append(in, groupId, sender, term);
      case "appended" ->
          MODELS
              .createAppendEntriesSuccessResponseBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setLastLogIndex(in.number("last"))
              .setQuerySequenceNumber(in.number("query"))
              .setFlowControlSequenceNumber(in.number("flow"))
              .build();
      case "notAppended" ->
          MODELS
              .createAppendEntriesFailureResponseBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setExpectedNextIndex(in.number("next"))
              .setQuerySequenceNumber(in.number("query"))
              .setFlowControlSequenceNumber(in.number("flow"))
              .build();
      case "preVote" ->
          MODELS
              .createPreVoteRequestBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(in.nonNegativeInt("logTerm"))
              .setLastLogIndex(in.number("logIndex"))
              .build();
      case "preVoted" ->
          MODELS
              .createPreVoteResponseBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setGranted(in.bool("granted"))
              .build();
      case "vote" ->
          MODELS
              .createVoteRequestBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(in.nonNegativeInt("logTerm"))
              .setLastLogIndex(in.number("logIndex"))
              .setSticky(in.bool("sticky"))
              .build();
      case "voted" ->
          MODELS
              .createVoteResponseBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setGranted(in.bool("granted"))
              .build();
      case "elect" ->
          MODELS
              .createTriggerLeaderElectionRequestBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(in.nonNegativeInt("logTerm"))
              .setLastLogIndex(in.number("logIndex"))
              .build();
      case "install" -> install(in, groupId, sender, term);
      case "installed" ->
          MODELS
              .createInstallSnapshotResponseBuilder()
              .setGroupId(groupId)
              .setSender(sender)
              .setTerm(term)
              .setSnapshotIndex(in.number("snapshot"))
              .setRequestedSnapshotChunkIndex(in.nonNegativeInt("piece"))
              .setQuerySequenceNumber(in.number("query"))
              .setFlowControlSequenceNumber(in.number("flow"))
              .build();
      default -> throw new MalformedException("unknown type of message: " + in.text("is"));
    };
  }

  private static RaftMessage append(Fields in, Object groupId, RaftEndpoint sender, int term)
      throws MalformedException {
    List<LogEntry> entries = new ArrayList<>();
    for (Fields entry : in.list("entries")) {
      entries.add(Operations.entry(entry));
    }
    return MODELS
        .createAppendEntriesRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(term)
        .setPreviousLogTerm(in.nonNegativeInt("logTerm"))
        .setPreviousLogIndex(in.number("logIndex"))
        .setCommitIndex(in.number("commit"))
        .setLogEntries(entries)
        .setQuerySequenceNumber(in.number("query"))
        .setFlowControlSequenceNumber(in.number("flow"))
        .build();
  }

  private static RaftMessage install(Fields in, Object groupId, RaftEndpoint sender, int term)
      throws MalformedException {
    int snapshotTerm = in.nonNegativeInt("logTerm");
    long snapshotIndex = in.number("logIndex");
    SnapshotChunk chunk =
        in.has("piece") ? Operations.chunk(snapshotIndex, snapshotTerm, in.fields("piece")) : null;
    return MODELS
        .createInstallSnapshotRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(term)
        .setSenderLeader(in.bool("fromLeader"))
        .setSnapshotTerm(snapshotTerm)
        .setSnapshotIndex(snapshotIndex)
        .setTotalSnapshotChunkCount(in.nonNegativeInt("pieces"))
        .setSnapshotChunk(chunk)
        .setSnapshottedMembers(Operations.voters(in.texts("have")))
        .setGroupMembersView(Operations.view(in.fields("view")))
        .setQuerySequenceNumber(in.number("query"))
        .setFlowControlSequenceNumber(in.number("flow"))
        .build();
  }
}
