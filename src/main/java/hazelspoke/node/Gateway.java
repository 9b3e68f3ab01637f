package hazelspoke.node;

import hazelspoke.agreement.net.FleetSettings;
import hazelspoke.back.http.HostClient;
import hazelspoke.core.ByteBudget;
import hazelspoke.core.ClassRegistry;
import hazelspoke.core.Clock;
import hazelspoke.core.Dispatcher;
import hazelspoke.core.HostList;
import hazelspoke.core.Log;
import hazelspoke.core.Meter;
import hazelspoke.discovery.DiscoveryClient;
import hazelspoke.front.http.ClientServer;
import hazelspoke.net.EventLoops;
import hazelspoke.net.SocketPolling;
import hazelspoke.net.Transport;
import hazelspoke.takeover.ServingPidFile;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sun.misc.Signal;
import ternscale.api.Balancer;
import ternscale.api.MembersUpdate;
import ternscale.api.Settings;
import ternscale.policy.LcStarBalancer;

/** One gateway: its parts, all on one event loop, from the start to the drain after SIGTERM. */
public final class Gateway {
  /** Sockets for hosts, as a part of what is not for others; clients get the rest. */
  private static final double HOST_PART = 0.4;

  /** Descriptors for what is neither: the JVM's files, discovery, the listener, and some slack. */
  private static final int OTHER_DESCRIPTORS = 56;

  /** Bodies of requests held at once, besides the one that may always be completed. */
  private static final long BODY_BYTES = 6L << 20;

  /** Answers held at once until they are whole or written. */
  private static final long ANSWER_BYTES = 6L << 20;

  /** New connections come for up to 400 ms after SIGTERM. */
  private static final long ACCEPT_ON_MS = 500;

  /** Nor is a longer deadline waited for than this, which SIGKILL need not do either. */
  static final long MAX_DEADLINE_MS = 3_000;

  private static final long DRAIN_CHECK_MS = 20;

  /**
   * For so long the list of the configuration is not gone by where an agent pushes lists: it may be
   * old, and what the agent has counts as told from the first moment of a process. An agent that
   * has a list answers at once; one that has not answered two calls, 200 ms apart, is silent.
   */
  private static final long FIRST_LIST_TIMEOUT_MS = 400;

  /** As often as this operators' figures of hosts are brought up to date. */
  private static final long FIGURES_MS = 100;

  static {
    // As without SLF4J, which the fleet's record brings along: no class of it is loaded for Netty.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  private GatewayConfig config;

  /** The longest deadline that a leave waits for; tests that hold requests up have more time. */
  long maxDeadlineMs = MAX_DEADLINE_MS;

  private final EventLoopGroup group = EventLoops.single();
  final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final Log log;
  private final Transport transport;
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CountDownLatch settled = new CountDownLatch(1);
  private DiscoveryClient discovery;
  private Dispatcher dispatcher;

  /** What may be asked for, under all settings that were taken so far. */
  private volatile ClassRegistry classes;

  private volatile ClientServer clients;

  /** Whether clients are taken; operators ask from a thread of their own. */
  private volatile boolean serving;

  /** How long the first list of an agent is waited for; a test has its own. */
  long firstListTimeoutMs = FIRST_LIST_TIMEOUT_MS;

  /** Whether any list of hosts is known, an agent's or the configuration's; the loop's. */
  private boolean listed;

  /** Whether a leave has begun; the loop's. */
  private boolean draining;

  /** Null where operators have no address. */
  private Management management;

  /** Null where the operator's file names no fleet. */
  private volatile FleetMembership fleet;

  /** Whether operators drain it by hand. */
  private volatile boolean handDrain;

  /** Null where no other process takes over. */
  private ServingPidFile pidFile;

  Gateway(GatewayConfig config, PrintStream err, Transport transport) {
    this.config = config;
    classes = config.classes();
    this.transport = transport;
    log = new Log(err, clock);
  }

  /** Runs a gateway until SIGTERM; returns 1 when it cannot start. */
  public static int serve(Map<String, String> environment, PrintStream err) {
    return serve(environment, err, Runtime.getRuntime()::addShutdownHook);
  }

  /**
   * Runs a gateway until SIGTERM.
   *
   * @param shutdownHooks is given what has to run at SIGTERM, before the first client can connect:
   *     a request that was taken in before that would be lost
   * @return 1 when it cannot start
   */
  static int serve(
      Map<String, String> environment, PrintStream err, Consumer<Thread> shutdownHooks) {
    IgnoredSignals ignored = IgnoredSignals.ofThisProcess();
    // Before the file is read, so that no change of it is missed.
    FileWatcher changes =
        ignored.ignores(IgnoredSignals.HUP)
            ? new FileWatcher(environment.get("NODE_CONFIG"))
            : null;
    GatewayConfig config;
    FleetSettings fleet = null;
    try {
      config = GatewayConfig.read(environment);
      String file = environment.get("PUMICETRAY_CONFIG");
      if (file != null && !file.isEmpty()) {
        fleet = FleetMembership.read(file, environment);
      }
    } catch (ConfigException e) {
      err.println("hazelspoke: " + e.getMessage());
      return 1;
    }
    Gateway gateway = new Gateway(config, err, Transport.TCP);
    Signal.handle(new Signal("HUP"), signal -> gateway.reload(environment));
    ignored.lines().forEach(gateway.log::line);
    if (changes != null) {
      gateway.reloadOn(changes, environment);
    }
    try {
      gateway.openManagement();
      if (gateway.management != null) {
        ignored.registerMetrics(gateway.management);
      }
      if (fleet != null) {
        gateway.joinFleet(fleet);
      }
      new WarmUp(config, environment).run(gateway.log, WarmUp.MOST_MS);
      gateway.openPidFile(temporary(environment));
      gateway.awaitFleet();
      shutdownHooks.accept(new Thread(gateway::drain, "drain"));
      gateway.start();
    } catch (IllegalStateException e) {
      err.println("hazelspoke: " + e.getMessage());
      gateway.stop();
      return 1;
    }
    return 0;
  }

  /**
   * Starts one in this process, with no warm-up and no signals: for those who bring both sides of
   * it themselves. The caller ends it, by {@link #drain} or {@link #stop}.
   *
   * @throws IllegalStateException when it cannot start; the message is one line
   */
  public static Gateway open(Map<String, String> environment, PrintStream err) {
    Gateway gateway;
    try {
      gateway = new Gateway(GatewayConfig.read(environment), err, Transport.TCP);
    } catch (ConfigException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
    try {
      gateway.openManagement();
      gateway.start();
    } catch (IllegalStateException e) {
      gateway.stop();
      throw e;
    }
    return gateway;
  }

  /**
   * Lets operators call, before the gateway starts and where they have an address.
   *
   * @return where they call, or null
   * @throws IllegalStateException when their address cannot be listened on
   */
  InetSocketAddress openManagement() {
    if (config.management() == null) {
      return null;
    }
    management = new Management(this, config.names().classes());
    return management.listen(config.management());
  }

  void joinFleet(FleetSettings settings) {
    fleet =
        FleetMembership.open(settings, line -> loop.execute(() -> log.line(line)), this::standing);
    if (management != null) {
      fleet.registerMetrics(management);
    }
  }

  void awaitFleet() {
    if (fleet != null) {
      fleet.awaitJoined(line -> loop.execute(() -> log.line(line)));
    }
  }

  /** Its session holds again, or does not; on the fleet's thread. */
  private void standing() {
    if (serving) {
      clients.setDraining(handDrain || fleet.isDraining());
    }
  }

  /** Whether clients are taken; any thread may ask. */
  boolean isServing() {
    return serving && (fleet == null || !fleet.isDraining());
  }

  /** Begins or ends a drain by operators, at once and from any thread; false if it cannot. */
  boolean setDraining(boolean on) {
    boolean can = serving;
    if (can) {
      handDrain = on;
      clients.setDraining(on || fleet != null && fleet.isDraining());
      loop.execute(() -> log.line("drain by operators: " + (on ? "on" : "off")));
    }
    return can;
  }

  /** Where this process may write; it may share that with the one before and the one after it. */
  static Path temporary(Map<String, String> environment) {
    return Path.of(environment.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
  }

  /** Where operators upgrade while it serves, another process may come to the same address. */
  private void openPidFile(Path folder) {
    if (management != null) {
      InetSocketAddress address = config.listen();
      setPidFile(
          ServingPidFile.ofThisProcess(folder, address.getHostString() + "-" + address.getPort()));
    }
  }

  /** Takes its place among those that serve at its address, before it starts. */
  void setPidFile(ServingPidFile shared) {
    pidFile = shared;
  }

  /** Starts everything and returns the address that clients can connect to. */
  SocketAddress start() {
    ChannelFuture binding = loop.submit(this::wire).syncUninterruptibly().getNow();
    if (!binding.awaitUninterruptibly().isSuccess()) {
      throw new IllegalStateException(
          "field config.listen cannot be listened on: " + binding.cause().getMessage());
    }
    loop.submit(() -> serving = !draining).syncUninterruptibly();
    if (fleet != null) {
      standing();
    }
    if (pidFile != null) {
      try {
        pidFile.claim();
      } catch (IOException e) {
        log.failure("the process before this one will not know of it", e);
      }
    }
    return binding.channel().localAddress();
  }

  private ChannelFuture wire() {
    if (draining) {
      throw new IllegalStateException("told to end before it served");
    }
    int others =
        OTHER_DESCRIPTORS
            + (management == null ? 0 : Management.DESCRIPTORS)
            + (fleet == null ? 0 : FleetMembership.DESCRIPTORS);
    int shared = Math.max(4, config.sockets() - others);
    int hostSockets = (int) (HOST_PART * shared);
    int clientSockets = shared - hostSockets;
    HostClient hosts =
        new HostClient(
            loop,
            transport,
            clock,
            config.settings().limits(),
            hostSockets,
            new ByteBudget(ANSWER_BYTES));
    dispatcher =
        new Dispatcher(
            loop,
            config.settings(),
            config.names(),
            config.openCap(),
            clock,
            log,
            hosts,
            management == null ? Meter.NONE : management.meter());
    boolean pushed = config.settings().discovery() == Settings.Discovery.PUSHED;
    // A warm-up has no agent.
    boolean agentFirst = pushed && transport == Transport.TCP;
    discovery =
        new DiscoveryClient(
            loop,
            transport,
            new DiscoveryClient.InitialState(
                config.discovery(), pushed, config.names(), config.known().version()),
            clock,
            log,
            this::onList,
            dispatcher::onDiscoveryFailed);
    Balancer balancer =
        new LcStarBalancer(config.settings(), config.seed(), clock.nowMs(), dispatcher);
    dispatcher.start(balancer, discovery);
    if (agentFirst) {
      loop.schedule(this::goByConfiguredList, firstListTimeoutMs, TimeUnit.MILLISECONDS);
    } else {
      goByConfiguredList();
    }
    discovery.start();
    if (pidFile != null && pidFile.hasPredecessor()) {
      // The module spreads first calls, as a whole fleet may be starting. This one starts alone,
      // and
      // the list that it was given may be old. The module's own call then finds it done.
      discovery.watch(true);
    }
    if (management != null) {
      loop.scheduleAtFixedRate(
          () -> management.setHostCounts(hosts.size(), balancer.usableHosts(clock.nowMs())),
          0,
          FIGURES_MS,
          TimeUnit.MILLISECONDS);
    }
    clients =
        new ClientServer(
            loop,
            clock,
            config.names(),
            classes,
            dispatcher,
            new ByteBudget(BODY_BYTES),
            log,
            dispatcher.violations(),
            clientSockets);
    return clients.listen(transport, config.listen(), pidFile != null);
  }

  /** What is told first may be changes only: they hold for the list that was asked from. */
  private void onList(HostList.Update update) {
    HostList.Update news = listed ? update : config.known().changedBy(update);
    listed = true;
    dispatcher.onMembers(
        news.complete() ? MembersUpdate.Kind.FULL : MembersUpdate.Kind.DELTA, news);
  }

  /** Until discovery is heard; requests are held while no host is known. */
  private void goByConfiguredList() {
    if (!listed) {
      listed = true;
      dispatcher.onMembers(MembersUpdate.Kind.CACHED, config.known());
    }
  }

  /**
   * Takes over the configuration as it stands now: where discovery is, the classes and the limits
   * on attempts; what else has changed waits for a restart. A file that cannot be used changes
   * nothing. On the loop, so that signals that come close to one another are handled in turn; the
   * file is small and lies in memory.
   */
  public void reload(Map<String, String> environment) {
    loop.execute(
        () -> {
          boolean good = false;
          try {
            GatewayConfig next = config.readAgain(environment);
            ClassRegistry book =
                classes.reloaded(next.names().classes(), next.settings().classes(), clock.nowMs());
            good = true;
            apply(next, book);
          } catch (ConfigException | IllegalArgumentException e) {
            log.line("kept the old configuration: " + e.getMessage());
          }
          if (management != null) {
            management.reloaded(good);
          }
        });
  }

  /** Reloads whenever the file has changed: for where SIGHUP does not arrive. */
  private void reloadOn(FileWatcher changes, Map<String, String> environment) {
    loop.scheduleWithFixedDelay(
        () -> {
          if (changes.hasChanged()) {
            reload(environment);
          }
        },
        FileWatcher.EVERY_MS,
        FileWatcher.EVERY_MS,
        TimeUnit.MILLISECONDS);
  }

  private void apply(GatewayConfig next, ClassRegistry book) {
    if (discovery == null) {
      // Not started yet: it will be with this.
      config = next;
      book = next.classes();
    } else {
      Settings before = config.settings();
      if (!next.settings().with(before.classes(), before.limits()).equals(before)) {
        log.line("other settings than classes and limits have changed: they wait for a restart");
      }
      dispatcher.onSettings(before.with(book.types(), next.settings().limits()));
      clients.reload(book);
      // In a leave too: as long as anything may be sent, the list has to be known.
      discovery.moveTo(next.discovery());
    }
    classes = book;
    if (management != null) {
      management.setClasses(book.names());
    }
  }

  /**
   * Takes leave: what has been taken and what still comes for a moment is served, and nothing new
   * after that. With a successor at the same address, nothing new comes from the beginning. Returns
   * when nothing is owed any more, or when it has to be over; at once where it never served.
   */
  public void drain() {
    if (group.isShuttingDown()) {
      return;
    }
    double longestMs = Math.min(maxDeadlineMs, classes.longestDeadlineMs(clock.nowMs()));
    ShutdownPlan plan = ShutdownPlan.begin(clock.nowMs(), longestMs);
    boolean followed = pidFile != null && pidFile.hasSuccessor();
    loop.execute(
        () -> {
          draining = true;
          if (clients == null) {
            drained.countDown();
            return;
          }
          log.line(followed ? "handing over" : "taking leave");
          serving = false;
          if (followed) {
            clients.handOver();
          } else {
            clients.markUnready();
          }
          dispatcher.setShutdownDeadline(plan.settleByMs());
          loop.schedule(
              () -> SocketPolling.afterPoll(loop, this::stopListening),
              ACCEPT_ON_MS,
              TimeUnit.MILLISECONDS);
          long settleInMs = (long) Math.max(0, plan.settleByMs() - clock.nowMs());
          loop.schedule(
              () -> SocketPolling.afterPoll(loop, this::settle), settleInMs, TimeUnit.MILLISECONDS);
        });
    try {
      if (!drained.await(plan.leftMs(clock.nowMs()), TimeUnit.MILLISECONDS)) {
        // Never before all has its answer, however long this process was held up.
        settled.await(ShutdownPlan.HELD_UP_MS, TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    checkExit();
    if (fleet != null) {
      fleet.leave();
    }
    stop();
  }

  /** Ends at once, with whatever is under way. */
  public void stop() {
    if (management != null) {
      management.close();
    }
    if (fleet != null) {
      fleet.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private void stopListening() {
    clients.stopListening();
    loop.scheduleWithFixedDelay(
        () -> SocketPolling.afterPoll(loop, this::checkDrained),
        DRAIN_CHECK_MS,
        DRAIN_CHECK_MS,
        TimeUnit.MILLISECONDS);
  }

  private void checkDrained() {
    if (clients.hasNoPendingClients()) {
      drained.countDown();
    }
  }

  /** All that is owed is answered now, as failed or refused: SIGKILL may come soon. */
  private void settle() {
    dispatcher.failAll();
    clients.rejectIncompleteRequests();
    settled.countDown();
  }

  private void checkExit() {
    try {
      loop.submit(
              () -> {
                if (clients != null) {
                  clients.reportUnansweredAtExit();
                }
              })
          .await(ShutdownPlan.HELD_UP_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
