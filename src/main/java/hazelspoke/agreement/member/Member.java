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

/** A member of a fleet, voter or not. Not thread-safe: all calls run on its event loop. */
public final class Member {
  /** Receives notifications of the member. */
  public interface Listener {
    /** An event for operators: a name, then {@code key=value} pairs. */
    void event(String line);

    /** The view of the fleet or the status of the session may have changed. */
    void changed();
  }

  /** How long this member attempts its own commands, in lease durations. */
  private static final int COMMAND_TIMEOUT_LEASES = 6;

  /** A member that no longer counts as a voter waits this many times longer for a restart. */
  private static final int REMOVED_RESTART_FACTOR = 8;

  /** One in this many requests for the founders reports which voters are missing. */
  private static final int WHO_REQUESTS_PER_EVENT = 20;

  private final MemberSettings settings;
  private final Scheduler scheduler;
  private final Random random;
  private final Transport transport;
  private final Disk disk;
  private final Listener listener;
  private final Components components;
  private final LeaderCalls calls;
  private final LocalSession session;
  private final Leadership leadership;

  private StoreIdentity identity;
  private Bootstrap bootstrap;
  private Engine engine;
  private RecordStore store;
  private final Feed feed;
  private final FeedSubscriber subscriber;
  private int whoRequests;
  private boolean diskFailed;
  private boolean stopped;

  /**
   * Starts the member, which runs until {@link #leave} or {@link #stop}.
   *
   * @param random not shared with any other process; it generates unique ids
   * @throws IOException if the data directory cannot be read or written
   * @throws WrongDataDirectoryException if it belongs to another member or fleet
   */
  public Member(
      MemberSettings settings,
      Disk disk,
      Scheduler scheduler,
      Random random,
      Transport transport,
      Listener listener)
      throws IOException, WrongDataDirectoryException {
    this(settings, disk, scheduler, random, transport, listener, new Components());
  }

  Member(
      MemberSettings settings,
      Disk disk,
      Scheduler scheduler,
      Random random,
      Transport transport,
      Listener listener,
      Components components)
      throws IOException, WrongDataDirectoryException {
    this.settings = settings;
    this.components = components;
    this.disk = disk;
    this.scheduler = scheduler;
    this.random = random;
    this.transport = transport;
    this.listener = listener;
    try {
      identity = StoreIdentity.open(disk, settings.fleet(), settings.self(), random);
      openStore();
    } catch (MalformedException | StoreDamagedException e) {
      // Votes may be among the lost data, so this member must never vote under that id again.
      listener.event("damaged why=\"" + e.getMessage() + "\" then=\"waits to be made a voter\"");
      identity = StoreIdentity.replace(disk, settings.fleet(), settings.self(), random);
    }
    long attemptTimeoutNanos = 4 * settings.heartbeatNanos();
    calls = new LeaderCalls(settings, transport, scheduler, random, attemptTimeoutNanos);
    session =
        new LocalSession(
            settings,
            identity,
            calls,
            scheduler,
            random,
            this::replyReceived,
            listener,
            components);
    FeedSettings feedSettings = components.feedSettings(settings);
    feed = components.feed(scheduler, feedSettings, () -> engine.record());
    subscriber =
        components.subscriber(
            settings.self(), scheduler, random, feedSettings, calls::voters, new SubscriberOwner());
    leadership = new Leadership(settings, scheduler, random, transport, listener, components);
    if (!identity.founders().isEmpty()) {
      startEngine();
      restartIfStuck();
    } else if (settings.isVoter()) {
      bootstrap = new Bootstrap(settings.voters(), identity.voterId());
      bootstrapFrom(bootstrap.learnNewVoter(settings.self(), identity.storeId()));
      askWho();
    }
    session.start();
    subscriber.start();
    leadership.tick();
  }

  private void openStore() throws IOException, StoreDamagedException, MalformedException {
    if (!identity.founders().isEmpty()) {
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
          components.engine(
              new Engine.Setup(
                  settings.fleet(),
                  identity.voterId(),
                  identity.founders(),
                  store,
                  new Engine.Parameters(settings.heartbeatNanos(), settings.snapshotEvery()),
                  scheduler,
                  random,
                  new EngineOwner()));
      leadership.start(engine, identity.founders());
    } catch (MalformedException e) {
      throw new IOException("the store cannot be restored: " + e.getMessage(), e);
    }
  }

  /**
   * Restarts a voter's engine from its disk after a long time without a leader, as a restart of the
   * process would. This works around a defect of MicroRaft 0.7: a follower that has started a
   * pre-vote and then learns of a leader of the same term still counts as having a pre-vote in
   * progress, so it never starts another one after that leader has failed. If its log is the
   * longest, no other voter can be elected either.
   */
  private void restartIfStuck() {
    if (stopped || diskFailed) {
      return;
    }
    // A removed voter may never learn of its removal, and no leader contacts it any more.
    boolean isRemoved = !calls.voters().contains(settings.self());
    int restartHeartbeats =
        components.heartbeatsBeforeRestart() * (isRemoved ? REMOVED_RESTART_FACTOR : 1);
    long leaderSilentNanos = scheduler.nanos() - engine.lastLeaderContactNanos();
    if (!engine.isLeader()
        && leaderSilentNanos > restartHeartbeats * settings.heartbeatNanos()
        && engine.voters().contains(identity.voterId())) {
      listener.event("restarts engine leader_silent_ms=" + leaderSilentNanos / 1_000_000);
      restartEngine();
    }
    // The check interval does not depend on the removal, as the member may become a voter again.
    scheduler.schedule(
        (long)
            (settings.heartbeatNanos()
                * components.heartbeatsBeforeRestart()
                * (0.5 + random.nextDouble())),
        this::restartIfStuck);
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
      diskFailed(e);
    } catch (StoreDamagedException e) {
      diskFailed(new IOException(e.getMessage(), e));
    }
  }

  /** Asks all voters repeatedly until the founders are known. */
  private void askWho() {
    if (stopped || engine != null) {
      return;
    }
    Map<String, Object> who = Packets.ofKind(Packets.WHO);
    who.put("home", identity.storeId());
    for (String voter : calls.otherVoters(settings.voters())) {
      transport.send(voter, Cbor.write(who));
    }
    if (++whoRequests % WHO_REQUESTS_PER_EVENT == 0) {
      listener.event("waits for=founding missing=" + bootstrap.missing());
    }
    scheduler.schedule(
        settings.heartbeatNanos() + (long) (random.nextDouble() * settings.heartbeatNanos()),
        this::askWho);
  }

  private void bootstrapFrom(List<VoterId> founders) throws IOException {
    if (founders.isEmpty() || engine != null) {
      return;
    }
    // The store comes first: a directory with founders but without a store counts as damaged.
    try {
      store = RecordStore.open(disk);
    } catch (StoreDamagedException e) {
      throw new IOException("a new store is damaged: " + e.getMessage(), e);
    }
    identity.writeFounders(founders);
    boolean isVoter = founders.contains(identity.voterId());
    listener.event("founded by=" + founders + " votes=" + isVoter);
    startEngine();
    restartIfStuck();
  }

  /**
   * Handles a packet; a malformed one is logged and dropped.
   *
   * @param reply sends a packet back to the sender
   */
  public void receive(String from, byte[] packet, Consumer<byte[]> reply) {
    if (stopped) {
      return;
    }
    try {
      Fields in = Cbor.read(packet);
      switch (in.text("kind")) {
        case Packets.RAFT -> handleRaft(from, in);
        case Packets.WHO -> handleWho(from, in.text("home"), reply);
        case Packets.IAM -> handleIam(from, in);
        case Packets.CALL -> leadership.call(from, in, calls.leader(), reply);
        case Packets.REPLY -> calls.reply(from, in);
        case Packets.INVITE -> handleInvite(in, reply);
        case Packets.FILLED -> leadership.caughtUp(from, in);
        case Packets.FOLLOW -> handleFollow(from, in, reply);
        case Packets.ENTRIES -> subscriber.receiveEntries(from, in);
        case Packets.PIECE -> subscriber.receivePiece(from, in);
        default -> listener.event("unknown from=" + from + " kind=" + in.text("kind"));
      }
    } catch (MalformedException e) {
      listener.event("malformed from=" + from + " why=\"" + e.getMessage() + "\"");
    } catch (IOException e) {
      diskFailed(e);
    }
  }

  private void handleRaft(String from, Fields in) throws MalformedException {
    // Messages for an earlier voter id of this member are dropped.
    if (engine != null && in.text("to").equals(identity.voterId().storeId())) {
      engine.handle(from, in.bytes("message"));
    }
  }

  /** Without a running engine nothing is sent, so that the subscriber switches to another voter. */
  private void handleFollow(String from, Fields in, Consumer<byte[]> reply)
      throws MalformedException {
    if (engine != null && !diskFailed) {
      feed.follow(from, in, reply);
    }
  }

  private void handleWho(String from, String senderStoreId, Consumer<byte[]> reply)
      throws IOException {
    Map<String, Object> out = Packets.ofKind(Packets.IAM);
    out.put("home", identity.storeId());
    out.put("founders", identity.founders().stream().map(VoterId::toString).toList());
    reply.accept(Cbor.write(out));
    if (bootstrap != null && settings.voters().contains(from)) {
      // The sender knows no founders.
      bootstrapFrom(bootstrap.learnNewVoter(from, senderStoreId));
    }
  }

  private void handleIam(String from, Fields in) throws MalformedException, IOException {
    if (bootstrap == null || !settings.voters().contains(from)) {
      return;
    }
    List<VoterId> founders = parseVoters(in.texts("founders"));
    bootstrapFrom(founders.isEmpty() ? bootstrap.learnNewVoter(from, in.text("home")) : founders);
  }

  /**
   * Handles an invitation to become a voter, which is repeated until the member has the record:
   * starts the engine, which only voters need. The member votes under a new voter id, as MicroRaft
   * 0.7 terminates a voter that reads its own removal in the log, even if it was added again later,
   * and can loop forever doing so.
   */
  private void handleInvite(Fields in, Consumer<byte[]> reply)
      throws MalformedException, IOException {
    // Invitations for an earlier store of this member are dropped.
    if (!in.text("home").equals(identity.storeId()) || diskFailed) {
      return;
    }
    StoreIdentity.Invitation invitation = StoreIdentity.Invitation.read(in);
    if (invitation.isNewerThan(identity.invitation())) {
      identity.acceptInvitation(invitation);
      if (engine != null) {
        restartEngine();
      }
      if (diskFailed) {
        return;
      }
    } else if (!invitation.equals(identity.invitation())) {
      return;
    }
    bootstrapFrom(parseVoters(in.texts("founders")));
    Map<String, Object> out = Packets.ofKind(Packets.FILLED);
    out.put("as", invitation.voterStoreId());
    out.put("index", engine == null ? 0 : engine.record().index());
    reply.accept(Cbor.write(out));
  }

  private static List<VoterId> parseVoters(List<String> texts) throws MalformedException {
    List<VoterId> out = new ArrayList<>();
    for (String text : texts) {
      out.add(VoterId.parse(text));
    }
    return out;
  }

  private void diskFailed(IOException cause) {
    diskFailed = true;
    if (engine != null) {
      engine.stop();
    }
    listener.event("disk why=\"" + cause.getMessage() + "\" then=\"no vote until the next start\"");
    leadership.stop();
  }

  private void replyReceived(LeaderCalls.Reply reply) throws MalformedException {
    calls.updateVoters(reply.fields().texts("voters"));
    if (reply.fields().has("index")) {
      subscriber.leaderReported(reply.from(), reply.fields().number("index"), reply.sentNanos());
    }
    listener.changed();
  }

  /** Submits a command; it is applied at most once, however often it is sent. */
  public CompletableFuture<CommandResult> submit(Command command) {
    return session.submit(command, COMMAND_TIMEOUT_LEASES * settings.leaseNanos());
  }

  /** Submits a numbered command, which its origin may also submit at other members. */
  public CompletableFuture<CommandResult> submit(Command.Numbered command, long timeoutNanos) {
    return session.submit(command, timeoutNanos);
  }

  /** Reads the record from the leader, as of this call or later. */
  public CompletableFuture<FleetRecord> read(long timeoutNanos) {
    return session
        .call("read", timeoutNanos)
        .thenApply(
            reply -> {
              try {
                replyReceived(reply);
                return FleetRecord.read(reply.fields().bytes("state"));
              } catch (MalformedException e) {
                throw new IllegalStateException("malformed state: " + e.getMessage(), e);
              }
            });
  }

  /** Makes a member a voter, or removes it from the voters. */
  public CompletableFuture<CommandResult> changeVoter(
      boolean add, String member, long timeoutNanos) {
    return session.changeVoter(add, member, timeoutNanos);
  }

  /** Whether this session epoch has joined and the local record includes the join. */
  public boolean hasJoined() {
    return session.incarnation() > 0 && subscriber.record().index() >= session.joinedIndex();
  }

  /** Whether the lease is valid by the local clock; if not, the member counts as partitioned. */
  public boolean hasValidLease() {
    return session.hasValidLease();
  }

  /** Returns the incarnation of the session; 0 if there is none. */
  public long incarnation() {
    return session.incarnation();
  }

  /** Whether this member is the leader, as far as it knows. */
  public boolean isLeader() {
    return engine != null && engine.isLeader();
  }

  /** Returns the record that the engine has applied, or null without an engine; for tests. */
  FleetRecord appliedRecord() {
    return engine == null ? null : engine.record();
  }

  /** Returns this member's view of the fleet. */
  public FleetView view() {
    String leader = isLeader() ? settings.self() : calls.leader();
    return new FleetView(
        subscriber.record(),
        subscriber.currentAsOfNanos(),
        leader == null ? "" : leader,
        calls.voters());
  }

  /** Leaves the fleet; stops once the record says so or the timeout is over. */
  public CompletableFuture<Void> leave(long timeoutNanos) {
    return session.leave(timeoutNanos).handle((done, failure) -> null).thenRun(this::stop);
  }

  /** Stops at once, without leaving the fleet. */
  public void stop() {
    if (stopped) {
      return;
    }
    stopped = true;
    calls.stop();
    session.stop();
    subscriber.stop();
    leadership.stop();
    if (engine != null) {
      engine.stop();
    }
    // The store is closed after the engine, which stops in an event-loop iteration of its own.
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

  private final class SubscriberOwner implements FeedSubscriber.Owner {
    @Override
    public void send(String voter, byte[] packet) {
      transport.send(voter, packet);
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
      transport.send(to.member(), Packets.raft(to.storeId(), message));
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
      leadership.leadershipChanged(isLeader);
      if (isLeader) {
        calls.setLeader(settings.self());
      }
    }

    @Override
    public void restartRequired(String reason) {
      listener.event("restarts engine why=\"" + reason + "\"");
      leadership.leadershipChanged(false);
      // The restart is delayed, as the cause may occur again.
      scheduler.schedule(settings.heartbeatNanos(), Member.this::restartEngine);
    }

    @Override
    public void storeFailed(IOException cause) {
      Member.this.diskFailed(cause);
    }
  }
}
