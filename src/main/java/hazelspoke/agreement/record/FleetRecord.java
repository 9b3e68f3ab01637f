package hazelspoke.agreement.record;

import hazelspoke.agreement.record.Session.Status;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state after applying all entries up to an index: the sessions, the notes, and the last
 * command of each origin with its result, by which repeated commands are recognised. The number of
 * sessions, notes and origins is limited. Not thread-safe.
 */
public final class FleetRecord {
  /** The maximum number of members that ever joined; members that have ended count. */
  public static final int MAX_SESSIONS = 2_000;

  static final int MAX_NOTES = 256;

  /** Beyond this number, the origin whose last command is the oldest is dropped. */
  static final int MAX_ORIGINS = 4_096;

  /** The value of a note and its version, which is the index of the entry that wrote it. */
  public record NoteValue(long version, String value) {}

  private record LastCommand(long number, CommandResult result) {}

  private long index;
  private final TreeMap<String, Session> sessions = new TreeMap<>();
  private final TreeMap<String, NoteValue> notes = new TreeMap<>();

  /** Ordered by the time of the last command, oldest first. */
  private final LinkedHashMap<String, LastCommand> origins = new LinkedHashMap<>();

  /** Returns the index of the last applied entry; 0 before the first. */
  public long index() {
    return index;
  }

  /** Returns the newest session of each member, ordered by member name. */
  public List<Session> sessions() {
    return List.copyOf(sessions.values());
  }

  /** Returns the session of a member's newest incarnation, or null. */
  public Session session(String member) {
    return sessions.get(member);
  }

  /** Returns a note, or null. */
  public NoteValue note(String key) {
    return notes.get(key);
  }

  /** Returns all notes by key. */
  public Map<String, NoteValue> notes() {
    return Map.copyOf(notes);
  }

  /** Advances past an entry without a command, such as the first entry of a leader's term. */
  public void advanceTo(long index) {
    this.index = index;
  }

  /**
   * Applies an encoded entry.
   *
   * @param entry an encoded command, or empty at the beginning of a leader's term
   * @return the result of the command; null for an empty entry
   */
  public CommandResult applyEntry(long index, byte[] entry) {
    if (entry.length == 0) {
      advanceTo(index);
      return null;
    }
    try {
      return apply(index, Command.Numbered.read(entry));
    } catch (MalformedException e) {
      // The entry was written by a later version; all members of this version skip it alike.
      advanceTo(index);
      return CommandResult.rejected(0, e.getMessage());
    }
  }

  /**
   * Applies a command, at most once for each origin and number.
   *
   * @return the result of the first application
   */
  public CommandResult apply(long index, Command.Numbered entry) {
    this.index = index;
    LastCommand last = origins.remove(entry.origin());
    if (last != null && entry.number() <= last.number) {
      origins.put(entry.origin(), last);
      return entry.number() == last.number
          ? last.result
          : CommandResult.rejected(
              0, "a later command of " + entry.origin() + " came before this one");
    }
    CommandResult result = apply(entry.command());
    origins.put(entry.origin(), new LastCommand(entry.number(), result));
    if (origins.size() > MAX_ORIGINS) {
      origins.remove(origins.keySet().iterator().next());
    }
    return result;
  }

  private CommandResult apply(Command command) {
    if (command instanceof Command.Join join) {
      return join(join);
    } else if (command instanceof Command.Leave leave) {
      return endSession(leave.member(), leave.incarnation(), Status.LEFT);
    } else if (command instanceof Command.Lapse lapse) {
      return changeStatus(lapse.member(), lapse.incarnation(), Status.THERE, Status.SILENT);
    } else if (command instanceof Command.Back back) {
      return changeStatus(back.member(), back.incarnation(), Status.SILENT, Status.THERE);
    } else if (command instanceof Command.Refused refused) {
      // Applies only to a session whose lease has expired: a process that still renews is running.
      return changeStatus(refused.member(), refused.incarnation(), Status.SILENT, Status.REFUSED);
    } else if (command instanceof Command.Vouch vouch) {
      return confirmEnd(vouch.member());
    }
    return writeNote((Command.Note) command);
  }

  private CommandResult join(Command.Join join) {
    Session before = sessions.get(join.member());
    if (before != null) {
      if (before.sessionEpoch() == join.sessionEpoch() && before.storeId().equals(join.storeId())) {
        return before.status().hasEnded()
            ? CommandResult.rejected(0, "this process counts as over: " + before.status())
            : CommandResult.success(before.incarnation());
      }
      if (before.storeId().equals(join.storeId()) && join.sessionEpoch() < before.sessionEpoch()) {
        // A delayed command of a process that has ended.
        return CommandResult.rejected(
            before.incarnation(), "a later process has joined with the same folder");
      }
      // One process uses a data directory at a time, so a later epoch proves that the earlier
      // process
      // has ended.
      if (!before.status().hasEnded() && !before.storeId().equals(join.storeId())) {
        return CommandResult.rejected(
            before.incarnation(),
            "the name "
                + join.member()
                + " belongs to the process at "
                + before.address()
                + (before.status() == Status.SILENT
                    ? ", which is silent and not known to be over: vouch for it if it is"
                    : ""));
      }
    } else if (sessions.size() >= MAX_SESSIONS) {
      return CommandResult.rejected(0, "there are " + MAX_SESSIONS + " members already");
    }
    sessions.put(
        join.member(),
        new Session(
            join.member(),
            join.storeId(),
            join.sessionEpoch(),
            index,
            join.address(),
            Status.THERE,
            index));
    return CommandResult.success(index);
  }

  private Session sessionOf(String member, long incarnation) {
    Session session = sessions.get(member);
    return session != null && session.incarnation() == incarnation ? session : null;
  }

  private CommandResult changeStatus(String member, long incarnation, Status from, Status to) {
    Session session = sessionOf(member, incarnation);
    if (session == null) {
      return CommandResult.rejected(0, "another process has the name " + member);
    }
    if (session.status() == to) {
      return CommandResult.success(session.sinceIndex());
    }
    if (session.status() != from) {
      return CommandResult.rejected(session.sinceIndex(), member + " is " + session.status());
    }
    sessions.put(member, session.with(to, index));
    return CommandResult.success(index);
  }

  private CommandResult endSession(String member, long incarnation, Status status) {
    Session session = sessionOf(member, incarnation);
    if (session == null || session.status().hasEnded()) {
      return CommandResult.success(0);
    }
    sessions.put(member, session.with(status, index));
    return CommandResult.success(index);
  }

  private CommandResult confirmEnd(String member) {
    Session session = sessions.get(member);
    if (session == null) {
      return CommandResult.rejected(0, "no member has the name " + member);
    }
    if (session.status() == Status.THERE) {
      return CommandResult.rejected(
          session.incarnation(), member + " renews in time: end it before you vouch for its end");
    }
    return endSession(member, session.incarnation(), Status.VOUCHED);
  }

  private CommandResult writeNote(Command.Note note) {
    NoteValue before = notes.get(note.key());
    long version = before == null ? 0 : before.version();
    if (note.expected() >= 0 && note.expected() != version) {
      return CommandResult.rejected(version, "the note has version " + version);
    }
    if (before == null && notes.size() >= MAX_NOTES) {
      return CommandResult.rejected(0, "there are " + MAX_NOTES + " notes already");
    }
    notes.put(note.key(), new NoteValue(index, note.value()));
    return CommandResult.success(index);
  }

  /** Encodes the state; the same entries always give the same bytes. */
  public byte[] bytes() {
    List<Map<String, Object>> encodedSessions = new ArrayList<>();
    for (Session s : sessions.values()) {
      Map<String, Object> out = Command.fields(join(s));
      out.put("incarnation", s.incarnation());
      out.put("standing", s.status().name());
      out.put("since", s.sinceIndex());
      encodedSessions.add(out);
    }
    List<Map<String, Object>> encodedNotes = new ArrayList<>();
    notes.forEach(
        (key, note) -> {
          Map<String, Object> out = new LinkedHashMap<>();
          out.put("key", key);
          out.put("version", note.version());
          out.put("value", note.value());
          encodedNotes.add(out);
        });
    List<Map<String, Object>> encodedOrigins = new ArrayList<>();
    origins.forEach(
        (origin, last) -> {
          Map<String, Object> out = last.result.fields();
          out.put("origin", origin);
          out.put("last", last.number);
          encodedOrigins.add(out);
        });
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("index", index);
    out.put("sessions", encodedSessions);
    out.put("notes", encodedNotes);
    out.put("origins", encodedOrigins);
    return Cbor.write(out);
  }

  private static Command.Join join(Session s) {
    return new Command.Join(s.member(), s.storeId(), s.sessionEpoch(), s.address());
  }

  /**
   * Decodes what {@link #bytes} returned.
   *
   * @throws MalformedException if the bytes are malformed
   */
  public static FleetRecord read(byte[] bytes) throws MalformedException {
    Fields in = Cbor.read(bytes);
    FleetRecord out = new FleetRecord();
    out.index = in.number("index");
    for (Fields s : in.list("sessions")) {
      out.sessions.put(
          s.text("member"),
          new Session(
              s.text("member"),
              s.text("home"),
              s.number("life"),
              s.number("incarnation"),
              s.text("address"),
              s.enumValue("standing", Status.class),
              s.number("since")));
    }
    for (Fields note : in.list("notes")) {
      out.notes.put(note.text("key"), new NoteValue(note.number("version"), note.text("value")));
    }
    for (Fields origin : in.list("origins")) {
      out.origins.put(
          origin.text("origin"),
          new LastCommand(origin.number("last"), CommandResult.read(origin)));
    }
    return out;
  }
}
