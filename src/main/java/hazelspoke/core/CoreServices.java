package hazelspoke.core;

import io.netty.channel.EventLoop;

/**
 * What attempts and probes work with, all of one gateway and on its loop.
 *
 * @param loop the one thread of the core
 * @param clock the time in milliseconds
 * @param hosts where calls are started
 * @param timers tells attempts and probes when they time out
 * @param lag what the loop has lost, so that no host is blamed for it
 * @param meter counts what is sent
 * @param guard says whether something may still be sent
 */
record CoreServices(
    EventLoop loop,
    Clock clock,
    HostTransport hosts,
    Timers timers,
    LoopLag lag,
    Meter meter,
    SendGuard guard) {}
