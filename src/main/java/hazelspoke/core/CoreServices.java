package hazelspoke.core;

import io.netty.channel.EventLoop;

/**
 * The services shared by the attempts and probes of one gateway, all confined to its event loop.
 *
 * @param loop the only thread of the core
 * @param clock the gateway's clock, in milliseconds
 * @param hosts starts calls to hosts
 * @param timers notifies attempts and probes of their timeouts
 * @param lag measures event-loop lag, so that hosts are not blamed for it
 * @param meter counts sent attempts
 * @param guard decides whether bytes may still be sent
 */
record CoreServices(
    EventLoop loop,
    Clock clock,
    HostTransport hosts,
    Timers timers,
    LoopLag lag,
    Meter meter,
    SendGuard guard) {}
