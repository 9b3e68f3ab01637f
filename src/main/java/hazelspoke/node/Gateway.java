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
import hazelspoke.core.RequestIds;
import hazelspoke.discovery.DiscoveryClient;
import hazelspoke.front.http.ClientServer;
import hazelspoke.net.DescriptorAccount;
import hazelspoke.net.EventLoops;
import hazelspoke.net.LoopErrors;
import hazelspoke.net.SocketPolling;
import hazelspoke.net.Transport;
import hazelspoke.takeover.ServingPidFile;
import hazelspoke.takeover.SharedMemoryFile;
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

/**
 * One gateway: its components, all on one event loop, from the start to the drain after SIGTERM.
 */
public final class Gateway {
  /**
   * Share of the descriptors for connections to hosts; connections of clients get the remainder.
   */
  private static final double HOST_SOCKET_SHARE = 0.4;

  /** Descriptors for all else: the JVM's files, discovery, the listener, and a reserve. */
  private static final int OTHER_DESCRIPTORS = 56;

  /** Time without new bytes after which a request gives way to others that wait for room. */
  private static final double REQUEST_STALL_MS = 25;

  /** The same for a response. */
  private static final double RESPONSE_STALL_MS = 100;

  /** How long to keep accepting after SIGTERM; new connections arrive for up to 400 ms. */
  private static final long ACCEPT_AFTER_SIGNAL_MS = 500;

  /** Longest deadline that a shutdown waits for; SIGKILL does not wait for a longer one either. */
  static final long MAX_DEADLINE_MS = 3_000;

  private static final long DRAIN_CHECK_INTERVAL_MS = 20;

  /** Exit status of a process whose event loop has failed. */
  static final int LOOP_FAILED_STATUS = 70;

  /**
   * How long the configured list of hosts stays unused where an agent pushes lists: the configured
   * list may be outdated, and what the agent has counts as known from the start of the process. An
   * agent that has a list responds at once; one that has not responded to two calls, 200 ms apart,
   * is unresponsive.
   */
  private static final long FIRST_LIST_TIMEOUT_MS = 400;

  /** The file with the ids of requests, with the version of its format. */
  private static final String REQUEST_IDS_FILE = "request-ids-1";

  private static final long BYTES_PER_MB = 1_000_000;

  /** Update interval of the metrics that are not counted as events occur. */
  private static final long METRICS_INTERVAL_MS = 100;

  static {
    // SLF4J comes with the dependencies of the fleet's record. Netty would pick it and load it.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  private GatewayConfig config;

  /** Longest deadline that a shutdown waits for; raised by tests that delay requests. */
  long maxDeadlineMs = MAX_DEADLINE_MS;

  private final EventLoopGroup group = EventLoops.single(new LoopErrorListener());
  final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final Log log;
  private final Transport transport;
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CountDownLatch allAnswered = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final DescriptorAccount descriptors = new DescriptorAccount(loop);
  private DiscoveryClient discovery;
  private Dispatcher dispatcher;

  /** For what clients send: heads, bodies, and input that is not decoded yet. */
  private final ByteBudget requestBudget;

  /** For what hosts send: bodies of responses until they are written. */
  private final ByteBudget responseBudget;

  /** The classes that clients may request, under all settings applied so far. */
  private volatile ClassRegistry classes;

  private volatile ClientServer clients;

  /** Whether clients are accepted; also read by the management thread. */
  private volatile boolean isServing;

  /** How long to wait for an agent's first list; changed by tests. */
  long firstListTimeoutMs = FIRST_LIST_TIMEOUT_MS;

  /** Decides when the first list of hosts is used; event loop only. */
  private InitialHostList initialHostList;

  /** Whether a shutdown has begun; event loop only. */
  private boolean isShuttingDown;

  /** Null if no management address is configured. */
  private Management management;

  /** Null if the operator's file names no fleet. */
  private volatile FleetMembership fleet;

  /** Whether the event loop ends because it was told to. */
  private volatile boolean isStopping;

  /** Whether operators have requested a drain. */
  private volatile boolean drainRequested;

  /** Null if no other process can take over the address. */
  private ServingPidFile pidFile;

  /** Null before the start and during warm-up. */
  private ResidentMemory residentMemory;

  /** Null if they are not shared with other processes. */
  private RequestIds sharedIds;

  Gateway(GatewayConfig config, PrintStream err, Transport transport) {
    this.config = config;
    classes = config.classes();
    this.transport = transport;
    log = new Log(err, clock);
    MemoryPlan memory = MemoryPlan.of(Runtime.getRuntime().maxMemory(), config.memoryMb());
    requestBudget = budget(memory, REQUEST_STALL_MS);
    responseBudget = budget(memory, RESPONSE_STALL_MS);
    group.terminationFuture().addListener(terminated -> ended.countDown());
  }

  private ByteBudget budget(MemoryPlan memory, double stalledMs) {
    return new ByteBudget(
        memory.poolBytes(), memory.overrunBytes(), stalledMs, clock, this::scheduleAfterPoll);
  }

  /**
   * Runs a gateway until SIGTERM.
   *
   * @return 1 if it cannot start, {@link #LOOP_FAILED_STATUS} if its event loop failed
   */
  public static int serve(Map<String, String> environment, PrintStream err) {
    Gateway gateway = startServing(environment, err, Runtime.getRuntime()::addShutdownHook);
    return gateway == null ? 1 : gateway.awaitEnd();
  }

  /**
   * Starts a gateway that runs until SIGTERM.
   *
   * @param shutdownHooks receives the thread to run at SIGTERM before the first client can connect:
   *     a request that was accepted earlier would be lost
   * @return null if it cannot start
   */
  static Gateway startServing(
      Map<String, String> environment, PrintStream err, Consumer<Thread> shutdownHooks) {
    IgnoredSignals ignored = IgnoredSignals.ofThisProcess();
    // Created before the file is read, so that no change is missed.
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
      return null;
    }
    Gateway gateway = new Gateway(config, err, Transport.TCP);
    Signal.handle(new Signal("HUP"), signal -> gateway.reload(environment));
    ignored.warnings().forEach(gateway.log::line);
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
      new WarmUp(config, environment).run(gateway.log, WarmUp.MAX_MS);
      gateway.openSharedFiles(temporary(environment));
      gateway.awaitFleet();
      shutdownHooks.accept(new Thread(gateway::drain, "drain"));
      gateway.start();
    } catch (IllegalStateException e) {
      err.println("hazelspoke: " + e.getMessage());
      gateway.stop();
      return null;
    }
    return gateway;
  }

  /**
   * Waits until the event loop has ended or failed. After SIGTERM the process ends by the shutdown
   * hook; after a failure by the returned status, which runs the same hook first.
   */
  private int awaitEnd() {
    boolean wasInterrupted = false;
    while (true) {
      try {
        ended.await();
        break;
      } catch (InterruptedException e) {
        wasInterrupted = true;
      }
    }
    if (wasInterrupted) {
      Thread.currentThread().interrupt();
    }
    return isStopping ? 0 : LOOP_FAILED_STATUS;
  }

  /** Logs the errors of the event loop, and ends the process once it is beyond repair. */
  private final class LoopErrorListener implements LoopErrors.Listener {
    @Override
    public void onError(String where, Throwable error) {
      log.failure(where, error);
    }

    @Override
    public void onBeyondRepair(Throwable error) {
      // First, as the log may fail too.
      ended.countDown();
      log.failure("the event loop keeps failing, this process ends", error);
    }
  }

  /**
   * Starts a gateway in this process, without warm-up and signal handlers, for callers that provide
   * both clients and hosts. The caller ends it with {@link #drain} or {@link #stop}.
   *
   * @throws IllegalStateException if it cannot start; the message is one line
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
   * Starts the management listener if an address is configured; called before {@link #start}.
   *
   * @return the bound address, or null
   * @throws IllegalStateException if the address cannot be bound
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
        FleetMembership.open(
            settings, line -> loop.execute(() -> log.line(line)), this::onFleetStatusChange);
    if (management != null) {
      fleet.registerMetrics(management);
    }
  }

  void awaitFleet() {
    if (fleet != null) {
      fleet.awaitJoined(line -> loop.execute(() -> log.line(line)));
    }
  }

  /** Called on the fleet's thread when the validity of the session has changed. */
  private void onFleetStatusChange() {
    if (isServing) {
      clients.setDraining(drainRequested || fleet.isDraining());
    }
  }

  /** Returns whether clients are accepted; callable from any thread. */
  boolean isServing() {
    return isServing && (fleet == null || !fleet.isDraining());
  }

  /** Begins or ends a drain by operators at once, from any thread; returns false if not serving. */
  boolean setDraining(boolean on) {
    boolean can = isServing;
    if (can) {
      drainRequested = on;
      clients.setDraining(on || fleet != null && fleet.isDraining());
      loop.execute(() -> log.line("drain by operators: " + (on ? "on" : "off")));
    }
    return can;
  }

  /** The folder for temporary files, possibly shared with the preceding and following process. */
  static Path temporary(Map<String, String> environment) {
    return Path.of(environment.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
  }

  /** With a management address, operators may start a successor process on the same address. */
  private void openSharedFiles(Path folder) {
    if (management != null) {
      String address = config.listen().getHostString() + "-" + config.listen().getPort();
      setPidFile(ServingPidFile.ofThisProcess(folder, address));
      shareRequestIds(folder, address);
    }
  }

  /** Shares the ids of requests with the processes that serve at this address from this folder. */
  void shareRequestIds(Path folder, String address) {
    SharedMemoryFile file =
        new SharedMemoryFile(folder, address, REQUEST_IDS_FILE, RequestIds.BUFFER_BYTES);
    try {
      sharedIds = RequestIds.shared(file.map(), System::nanoTime);
    } catch (IOException e) {
      log.failure("a process that takes over will not know the ids of open requests", e);
    }
  }

  /** Sets the pid file that processes on this address share; called before {@link #start}. */
  void setPidFile(ServingPidFile shared) {
    pidFile = shared;
  }

  /** Starts all components and returns the address that clients can connect to. */
  SocketAddress start() {
    ChannelFuture binding = loop.submit(this::startComponents).syncUninterruptibly().getNow();
    if (!binding.awaitUninterruptibly().isSuccess()) {
      throw new IllegalStateException(
          "field config.listen cannot be listened on: " + binding.cause().getMessage());
    }
    loop.submit(() -> isServing = !isShuttingDown).syncUninterruptibly();
    if (fleet != null) {
      onFleetStatusChange();
    }
    if (pidFile != null) {
      try {
        pidFile.claim();
      } catch (IOException e) {
        log.failure("the previous process will not detect its successor", e);
      }
    }
    return binding.channel().localAddress();
  }

  private ChannelFuture startComponents() {
    if (isShuttingDown) {
      throw new IllegalStateException("told to end before it served");
    }
    int otherDescriptors =
        OTHER_DESCRIPTORS
            + (management == null ? 0 : Management.DESCRIPTORS)
            + (fleet == null ? 0 : FleetMembership.DESCRIPTORS);
    int available = Math.max(4, config.sockets() - otherDescriptors);
    int hostSockets = (int) (HOST_SOCKET_SHARE * available);
    int clientSockets = available - hostSockets;
    HostClient hosts =
        new HostClient(
            loop,
            transport,
            clock,
            config.settings().limits(),
            hostSockets,
            responseBudget,
            descriptors);
    dispatcher =
        new Dispatcher(
            loop,
            config.settings(),
            config.names(),
            config.openCap(),
            clock,
            log,
            hosts,
            sharedIds == null ? RequestIds.ofOneProcess(System::nanoTime) : sharedIds,
            management == null ? Meter.NONE : management.meter());
    initialHostList = new InitialHostList(config.known());
    boolean pushed = config.settings().discovery() == Settings.Discovery.PUSHED;
    // The warm-up has no discovery agent.
    boolean awaitsAgentList = pushed && transport == Transport.TCP;
    discovery =
        new DiscoveryClient(
            loop,
            transport,
            descriptors,
            new DiscoveryClient.InitialState(
                config.discovery(), pushed, config.names(), config.known().version()),
            clock,
            log,
            this::onList,
            dispatcher::onDiscoveryFailed);
    Balancer balancer =
        new LcStarBalancer(config.settings(), config.seed(), clock.nowMs(), dispatcher);
    dispatcher.start(balancer, discovery);
    if (awaitsAgentList) {
      awaitFirstList();
    } else {
      useConfiguredList();
    }
    discovery.start();
    if (pidFile != null && pidFile.hasPredecessor()) {
      // The balancing module spreads the first calls, as a whole fleet may be starting. This
      // process starts alone, and its configured list may be outdated. The module's call is then a
      // no-op.
      discovery.watch(true);
    }
    if (management != null) {
      loop.scheduleAtFixedRate(
          () -> {
            management.setHostCounts(hosts.size(), balancer.usableHosts(clock.nowMs()));
            management.setHeldMemory(requestBudget, responseBudget);
          },
          0,
          METRICS_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
    clients =
        new ClientServer(
            loop,
            clock,
            config.names(),
            classes,
            dispatcher,
            requestBudget,
            log,
            dispatcher.violations(),
            descriptors,
            clientSockets);
    if (transport == Transport.TCP) {
      startMonitor();
    }
    return clients.listen(transport, config.listen(), pidFile != null);
  }

  private void startMonitor() {
    residentMemory = new ResidentMemory();
    new ResourceMonitor(
            clock,
            log,
            config.memoryMb() * BYTES_PER_MB,
            residentMemory,
            descriptors::failures,
            descriptors::describe)
        .start(loop);
  }

  private void onList(HostList.Update update) {
    initialHostList
        .onUpdate(update)
        .ifPresent(
            list ->
                dispatcher.onMembers(
                    list.complete() ? MembersUpdate.Kind.FULL : MembersUpdate.Kind.DELTA, list));
  }

  private void awaitFirstList() {
    loop.schedule(
        () -> {
          if (initialHostList.extendTimeout()) {
            awaitFirstList();
          } else {
            useConfiguredList();
          }
        },
        firstListTimeoutMs,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Uses the configured list until discovery responds; requests are held while no host is known.
   */
  private void useConfiguredList() {
    initialHostList
        .useConfigured()
        .ifPresent(list -> dispatcher.onMembers(MembersUpdate.Kind.CACHED, list));
  }

  /**
   * Reads the configuration file again and applies discovery's address, the classes and the limits
   * on attempts; other changes take effect after a restart. An invalid file changes nothing. Runs
   * on the event loop, so that signals in quick succession are handled in order; the file is small
   * and in the page cache.
   */
  public void reload(Map<String, String> environment) {
    loop.execute(
        () -> {
          boolean succeeded = false;
          try {
            GatewayConfig reloaded = config.reread(environment);
            ClassRegistry registry =
                classes.reloaded(
                    reloaded.names().classes(), reloaded.settings().classes(), clock.nowMs());
            succeeded = true;
            apply(reloaded, registry);
          } catch (ConfigException | IllegalArgumentException e) {
            log.line("kept the old configuration: " + e.getMessage());
          }
          if (management != null) {
            management.reloaded(succeeded);
          }
        });
  }

  /** Reloads whenever the file has changed; used if SIGHUP is ignored. */
  private void reloadOn(FileWatcher changes, Map<String, String> environment) {
    loop.scheduleWithFixedDelay(
        () -> {
          if (changes.hasChanged()) {
            reload(environment);
          }
        },
        FileWatcher.POLL_INTERVAL_MS,
        FileWatcher.POLL_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void apply(GatewayConfig reloaded, ClassRegistry registry) {
    if (discovery == null) {
      // Not started yet: the start will use this configuration.
      config = reloaded;
      registry = reloaded.classes();
    } else {
      Settings before = config.settings();
      if (!reloaded.settings().with(before.classes(), before.limits()).equals(before)) {
        log.line("settings other than classes and limits have changed: restart to apply them");
      }
      dispatcher.onSettings(before.with(registry.types(), reloaded.settings().limits()));
      clients.reload(registry);
      // During a shutdown too: as long as requests may be sent, a current list is needed.
      discovery.moveTo(reloaded.discovery());
    }
    classes = registry;
    if (management != null) {
      management.setClasses(registry.names());
    }
  }

  /**
   * Shuts down: serves all accepted requests and those that still arrive for a moment, then nothing
   * new. With a successor at the same address, accepts no new connections from the beginning.
   * Returns when no response is pending or the time limit has passed; at once if it never served.
   */
  public void drain() {
    if (group.isShuttingDown()) {
      return;
    }
    double longestDeadlineMs = Math.min(maxDeadlineMs, classes.longestDeadlineMs(clock.nowMs()));
    ShutdownPlan plan = ShutdownPlan.begin(clock.nowMs(), longestDeadlineMs);
    boolean hasSuccessor = pidFile != null && pidFile.hasSuccessor();
    loop.execute(
        () -> {
          isShuttingDown = true;
          if (clients == null) {
            drained.countDown();
            return;
          }
          log.line(hasSuccessor ? "handing over" : "taking leave");
          isServing = false;
          if (hasSuccessor) {
            clients.handOver();
          } else {
            clients.markUnready();
          }
          dispatcher.setShutdownDeadline(plan.answerAllByMs());
          loop.schedule(
              () -> SocketPolling.afterPoll(loop, this::stopListening),
              ACCEPT_AFTER_SIGNAL_MS,
              TimeUnit.MILLISECONDS);
          long answerAllInMs = (long) Math.max(0, plan.answerAllByMs() - clock.nowMs());
          loop.schedule(
              () -> SocketPolling.afterPoll(loop, this::answerAll),
              answerAllInMs,
              TimeUnit.MILLISECONDS);
        });
    try {
      if (!drained.await(plan.remainingMs(clock.nowMs()), TimeUnit.MILLISECONDS)) {
        // Don't exit before every request has its response, however long this process was stalled.
        allAnswered.await(ShutdownPlan.STALLED_LOOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
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

  /** Stops at once, without completing pending requests. */
  public void stop() {
    isStopping = true;
    if (management != null) {
      management.close();
    }
    if (fleet != null) {
      fleet.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    if (residentMemory != null) {
      residentMemory.close();
    }
  }

  private void scheduleAfterPoll(Runnable task, long delayMs) {
    loop.schedule(() -> SocketPolling.afterPoll(loop, task), delayMs, TimeUnit.MILLISECONDS);
  }

  private void stopListening() {
    clients.stopListening();
    loop.scheduleWithFixedDelay(
        () -> SocketPolling.afterPoll(loop, this::checkAllResponsesSent),
        DRAIN_CHECK_INTERVAL_MS,
        DRAIN_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void checkAllResponsesSent() {
    if (clients.hasNoPendingClients()) {
      drained.countDown();
    }
  }

  /** Answers all pending requests now, as failed or refused, as SIGKILL may follow soon. */
  private void answerAll() {
    dispatcher.failAll();
    clients.rejectIncompleteRequests();
    allAnswered.countDown();
  }

  private void checkExit() {
    try {
      loop.submit(
              () -> {
                if (clients != null) {
                  clients.reportUnansweredAtExit();
                }
              })
          .await(ShutdownPlan.STALLED_LOOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
