package hazelspoke.http;

import hazelspoke.core.Awaited;
import hazelspoke.core.BodyStream;
import hazelspoke.core.WaitTracker;
import io.netty.channel.Channel;

/** A source of a body stream that reads from a channel and pauses by disabling auto-read. */
public abstract class ChannelBodySource implements BodyStream.Source {
  private final Channel channel;
  private final WaitTracker waitTracker;

  /** Creates a source whose pauses count as waiting for the other side. */
  protected ChannelBodySource(Channel channel, WaitTracker waitTracker) {
    this.channel = channel;
    this.waitTracker = waitTracker;
  }

  @Override
  public void setReading(boolean enabled) {
    channel.config().setAutoRead(enabled);
    waitTracker.setAwaited(enabled ? Awaited.PEER_TO_SEND : Awaited.OTHER_SIDE);
  }
}
