package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.engine.VoterId;
import hazelspoke.agreement.feed.Feed;
import hazelspoke.agreement.feed.FeedSettings;
import hazelspoke.agreement.feed.FeedSubscriber;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.store.Disk;
import hazelspoke.agreement.store.RecordStore;
import hazelspoke.agreement.store.StoreDamagedException;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** One member of a fleet, voter or not. All calls on its turns. */
public final class Member {
  /** What the owner is told. */
  public interface Listener {
    /** Something that operators may want to read, as {@code key=value} pairs after a first word. */
    void event(String line);

    /** What is known here has changed. */
    void changed();
  }

  /** How long a command of this member's own is tried, in terms. */
  private static final int PATIENCE_TERMS = 6;

  /** Whose vote has ended, as a leader says, looks so much more seldom whether it is stuck. */
  private static final int REMOVED_RESTS = 8;

  /** Of the questions for the founders each so many says whom it waits for. */
  private static final int TELL_EVERY = 20;

  private final MemberSettings settings;
  private final Scheduler scheduler;
  private final Random random;
  private final Transport wire;
  private final Disk disk;
  private final Listener listener;
  private final Components parts;
  private final LeaderCalls calls;
  private final LocalSession session;
  private final Leadership leadership;

  private StoreIdentity home;
  private Bootstrap founding;
  private Engine engine;
  private RecordStore store;
  private final Feed feed;
  private final FeedSubscriber follower;
  private int asked;
  private boolean diskFailed;
  private boolean stopped;

  /**
   * Begins, and goes on by itself.
   *
   * @param random of this life alone; it draws names that nobody else may draw
   * @throws IOException if the folder cannot be read or written
   * @throws WrongFolderException if it is another member's
   */
  public Member(
      MemberSettings settings,
      Disk disk,
      Scheduler scheduler,
      Random random,
      Transport wire,
      Listener listener)
      throws IOException, WrongDataDirectoryException {
    this(settings, disk, scheduler, random, wire, listener, new Components());
  }

  Member(
      MemberSettings settings,
      Disk disk,
      Scheduler scheduler,
      Random random,
      Transport wire,
      Listener listener,
      Components parts)
      throws IOException, WrongDataDirectoryException {
    this.settings = settings;
    this.parts = parts;
    this.disk = disk;
    this.scheduler = scheduler;
    this.random = random;
    this.wire = wire;
    this.listener = listener;
    try {
      home = StoreIdentity.open(disk, settings.fleet(), settings.self(), random);
      openStore();
    } catch (MalformedException | StoreDamagedException e) {
      // What it has voted may be among what is gone, so it must never vote under that name again.
      listener.event("damaged why=\"" + e.getMessage() + "\" then=\"waits to be made a voter\"");
      home = StoreIdentity.renew(disk, settings.fleet(), settings.self(), random);
    }
    long patience = 4 * settings.heartbeatNanos();
    calls = new LeaderCalls(settings, wire, scheduler, random, patience);
    session =
        new LocalSession(settings, home, calls, scheduler, random, this::learn, listener, parts);
    FeedSettings pace = parts.pace(settings);
    feed = parts.feed(scheduler, pace, () -> engine.record());
    follower =
        parts.follower(
            settings.self(), scheduler, random, pace, calls::voters, new FollowerOwner());
    leadership = new Leadership(settings, scheduler, random, wire, listener, parts);
    if (!home.founders().isEmpty()) {
      startEngine();
      watch();
    } else if (settings.isVoter()) {
      founding = new Bootstrap(settings.voters(), home.voter());
      found(founding.heardNew(settings.self(), home.name()));
      askWho();
    }
    session.begin();
    follower.begin();
    leadership.tick();
  }

  private void openStore() throws IOException, StoreDamagedException, MalformedException {
    if (!home.founders().isEmpty()) {
      if (!RecordStore.existsIn(disk)) {
        throw new MalformedException("all segments are missing");
      }
      store = RecordStore.open(disk);
      long cut = store.recovered().truncatedBytes();
      if (cut > 0) {
        listener.event("cut torn_bytes=" + cut);
      }
    }
  }

  private void startEngine() throws IOException {
    try {
      engine =
          parts.engine(
              new Engine.Setup(
                  settings.fleet(),
                  home.voter(),
                  home.founders(),
                  store,
                  new Engine.Parameters(settings.heartbeatNanos(), settings.snapshotEvery()),
                  scheduler,
                  random,
                  new EngineOwner()));
      leadership.engine(engine, home.founders());
    } catch (MalformedException e) {
      throw new IOException("the store cannot be gone on from: " + e.getMessage(), e);
    }
  }

  /**
   * Starts a voter's engine anew from its disk when it has heard of no leader for long, as if its
   * process had been. MicroRaft 0.7 needs it: a follower that has asked for votes beforehand and
   * then hears of a leader of the same term keeps the mark that it is asking, and when that leader
   * dies it never asks again. If its log is the longest, nobody else is elected either.
   */
  private void watch() {
    if (stopped || diskFailed) {
      return;
    }
    // One that was removed may never hear of it, and has nobody to wait for.
    boolean removed = !calls.voters().contains(settings.self());
    int stuck = parts.stuckHeartbeats() * (removed ? REMOVED_RESTS : 1);
    long silent = scheduler.nanos() - engine.lastLeaderContactNanos();
    if (!engine.isLeader()
        && silent > stuck * settings.heartbeatNanos()
        && engine.voters().contains(home.voter())) {
      listener.event("restarts engine leader_silent_ms=" + silent / 1_000_000);
      restartEngine();
    }
    // As often where it was removed: it may be made a voter again meanwhile.
    scheduler.schedule(
        (long) (settings.heartbeatNanos() * parts.stuckHeartbeats() * (0.5 + random.nextDouble())),
        this::watch);
  }

  private void restartEngine() {
    if (stopped || diskFailed) {
      return;
    }
    try {
      engine.stop();
      store.close();
      store = RecordStore.open(disk);
      startEngine();
    } catch (IOException e) {
      failed(e);
    } catch (StoreDamagedException e) {
      failed(new IOException(e.getMessage(), e));
    }
  }

  /** Asks round until the founders are known. */
  private void askWho() {
    if (stopped || engine != null) {
      return;
    }
    Map<String, Object> who = Packets.of(Packets.WHO);
    who.put("home", home.name());
    for (String voter : calls.everybody(settings.voters())) {
      wire.send(voter, Cbor.write(who));
    }
    if (++asked % TELL_EVERY == 0) {
      listener.event("waits for=founding missing=" + founding.missing());
    }
    scheduler.schedule(
        settings.heartbeatNanos() + (long) (random.nextDouble() * settings.heartbeatNanos()),
        this::askWho);
  }

  private void found(List<VoterId> founders) throws IOException {
    if (founders.isEmpty() || engine != null) {
      return;
    }
    // First the store: a folder that knows of a record and has none has lost it.
    try {
      store = RecordStore.open(disk);
    } catch (StoreDamagedException e) {
      throw new IOException("a new store is damaged: " + e.getMessage(), e);
    }
    home.found(founders);
    boolean votes = founders.contains(home.voter());
    listener.event("founded by=" + founders + " votes=" + votes);
    startEngine();
    watch();
  }

  /**
   * Takes a packet; whatever it holds, this goes on.
   *
   * @param back the way to who sent it, for answers
   */
  public void receive(String from, byte[] packet, Consumer<byte[]> back) {
    if (stopped) {
      return;
    }
    try {
      Fields in = Cbor.read(packet);
      switch (in.text("kind")) {
        case Packets.RAFT -> raft(from, in);
        case Packets.WHO -> iam(from, in.text("home"), back);
        case Packets.IAM -> heard(from, in);
        case Packets.CALL -> leadership.call(from, in, calls.leader(), back);
        case Packets.REPLY -> calls.reply(from, in);
        case Packets.INVITE -> invited(in, back);
        case Packets.FILLED -> leadership.filled(from, in);
        case Packets.FOLLOW -> followed(from, in, back);
        case Packets.ENTRIES -> follower.entries(from, in);
        case Packets.PIECE -> follower.piece(from, in);
        default -> listener.event("unknown from=" + from + " kind=" + in.text("kind"));
      }
    } catch (MalformedException e) {
      listener.event("malformed from=" + from + " why=\"" + e.getMessage() + "\"");
    } catch (IOException e) {
      failed(e);
    }
  }

  private void raft(String from, Fields in) throws MalformedException {
    // What was meant for an earlier voter of this name is not this one's.
    if (engine != null && in.text("to").equals(home.voter().storeId())) {
      engine.handle(from, in.bytes("message"));
    }
  }

  /** Where no engine goes on, who follows hears nothing, and finds another voter. */
  private void followed(String from, Fields in, Consumer<byte[]> back) throws MalformedException {
    if (engine != null && !diskFailed) {
      feed.follow(from, in, back);
    }
  }

  private void iam(String to, String itsHome, Consumer<byte[]> back) throws IOException {
    Map<String, Object> out = Packets.of(Packets.IAM);
    out.put("home", home.name());
    out.put("founders", home.founders().stream().map(VoterId::toString).toList());
    back.accept(Cbor.write(out));
    if (founding != null && settings.voters().contains(to)) {
      // Who asks knows of no founders.
      found(founding.heardNew(to, itsHome));
    }
  }

  private void heard(String from, Fields in) throws MalformedException, IOException {
    if (founding == null || !settings.voters().contains(from)) {
      return;
    }
    List<VoterId> founders = voters(in.texts("founders"));
    found(founders.isEmpty() ? founding.heardNew(from, in.text("home")) : founders);
  }

  /**
   * Begins to be filled, with the engine that only voters need; asked again and again meanwhile. It
   * votes under a name that nobody has had: MicroRaft 0.7 ends a voter that reads of its own
   * removal, also where it was added again since, and can spin for ever doing so.
   */
  private void invited(Fields in, Consumer<byte[]> back) throws MalformedException, IOException {
    // What was meant for an earlier folder of this name is not this one's.
    if (!in.text("home").equals(home.name()) || diskFailed) {
      return;
    }
    StoreIdentity.Invitation invitation = StoreIdentity.Invitation.read(in);
    if (invitation.isNewerThan(home.invitation())) {
      home.invite(invitation);
      if (engine != null) {
        restartEngine();
      }
      if (diskFailed) {
        return;
      }
    } else if (!invitation.equals(home.invitation())) {
      return;
    }
    found(voters(in.texts("founders")));
    Map<String, Object> out = Packets.of(Packets.FILLED);
    out.put("as", invitation.home());
    out.put("index", engine == null ? 0 : engine.record().index());
    back.accept(Cbor.write(out));
  }

  private static List<VoterId> voters(List<String> texts) throws MalformedException {
    List<VoterId> out = new ArrayList<>();
    for (String text : texts) {
      out.add(VoterId.parse(text));
    }
    return out;
  }

  private void failed(IOException why) {
    diskFailed = true;
    if (engine != null) {
      engine.stop();
    }
    listener.event("disk why=\"" + why.getMessage() + "\" then=\"no vote until the next start\"");
    leadership.ends();
  }

  private void learn(LeaderCalls.Reply reply) throws MalformedException {
    calls.voters(reply.fields().texts("voters"));
    if (reply.fields().has("index")) {
      follower.told(reply.from(), reply.fields().number("index"), reply.askedAt());
    }
    listener.changed();
  }

  /** Puts a command on the record, once, however often it is asked again for it. */
  public CompletableFuture<CommandResult> submit(Command command) {
    return session.submit(command, PATIENCE_TERMS * settings.leaseNanos());
  }

  /** The same for somebody who numbers commands, and may ask several members for the same. */
  public CompletableFuture<CommandResult> submit(Command.Numbered command, long forNanos) {
    return session.submit(command, forNanos);
  }

  /** What the record says, no older than this call. */
  public CompletableFuture<FleetRecord> read(long forNanos) {
    return session
        .call("read", forNanos)
        .thenApply(
            reply -> {
              try {
                learn(reply);
                return FleetRecord.read(reply.fields().bytes("state"));
              } catch (MalformedException e) {
                throw new IllegalStateException("unreadable state: " + e.getMessage(), e);
              }
            });
  }

  /** Makes a member a voter, or ends its vote. */
  public CompletableFuture<CommandResult> changeVoter(boolean add, String member, long forNanos) {
    return session.changeVoter(add, member, forNanos);
  }

  /** Whether it has joined and read the record as of then or later, in this life. */
  public boolean hasJoined() {
    return session.incarnation() > 0 && follower.record().index() >= session.joinedAt();
  }

  /** Whether its session holds by its own clock; if not it is alone. */
  public boolean hasValidLease() {
    return session.hasValidLease();
  }

  /** Its incarnation; 0 while it has none. */
  public long incarnation() {
    return session.incarnation();
  }

  /** Whether this member leads, as far as it knows. */
  public boolean isLeader() {
    return engine != null && engine.isLeader();
  }

  /** The engine's record where there is one, else null; for those who judge it from outside. */
  FleetRecord appliedRecord() {
    return engine == null ? null : engine.record();
  }

  /** What is known here. */
  public FleetView view() {
    String leader = isLeader() ? settings.self() : calls.leader();
    return new FleetView(
        follower.record(),
        follower.currentAsOfNanos(),
        leader == null ? "" : leader,
        calls.voters());
  }

  /** Says that it goes for good, and stops once that is on the record or the time is over. */
  public CompletableFuture<Void> leave(long forNanos) {
    return session.leave(forNanos).handle((done, failure) -> null).thenRun(this::stop);
  }

  /** Ends at once, as if its process had. */
  public void stop() {
    if (stopped) {
      return;
    }
    stopped = true;
    calls.stop();
    session.stop();
    follower.stop();
    leadership.ends();
    if (engine != null) {
      engine.stop();
    }
    // After the engine, which ends in a turn of its own.
    scheduler.execute(this::closeStore);
  }

  private void closeStore() {
    try {
      if (store != null) {
        store.close();
      }
    } catch (IOException e) {
      listener.event("close why=\"" + e.getMessage() + "\"");
    }
  }

  private final class FollowerOwner implements FeedSubscriber.Owner {
    @Override
    public void send(String voter, byte[] packet) {
      wire.send(voter, packet);
    }

    @Override
    public void changed() {
      listener.changed();
    }

    @Override
    public void event(String line) {
      listener.event(line);
    }
  }

  private final class EngineOwner implements Engine.Owner {
    @Override
    public void send(VoterId to, byte[] message) {
      wire.send(to.member(), Packets.raft(to.storeId(), message));
    }

    @Override
    public void entryApplied(long index, byte[] entry) {
      feed.applied(index, entry);
      leadership.applied();
    }

    @Override
    public void snapshotInstalled(long index) {
      feed.installed(index);
      leadership.applied();
    }

    @Override
    public void leadershipChanged(boolean isLeader, int term) {
      listener.event((isLeader ? "leads" : "follows") + " term=" + term);
      leadership.leads(isLeader);
      if (isLeader) {
        calls.leads(settings.self());
      }
    }

    @Override
    public void restartRequired(String reason) {
      listener.event("restarts engine why=\"" + reason + "\"");
      leadership.leads(false);
      // Not at once, as what has happened may happen again.
      scheduler.schedule(settings.heartbeatNanos(), Member.this::restartEngine);
    }

    @Override
    public void storeFailed(IOException cause) {
      Member.this.failed(cause);
    }
  }
}
