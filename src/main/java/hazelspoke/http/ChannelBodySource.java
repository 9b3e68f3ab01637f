package hazelspoke.http;

import hazelspoke.core.BodyStream;
import io.netty.channel.Channel;

/** A source of a body stream that reads from a channel and pauses by disabling auto-read. */
public abstract class ChannelBodySource implements BodyStream.Source {
  private final Channel channel;

  protected ChannelBodySource(Channel channel) {
    this.channel = channel;
  }

  @Override
  public void setReading(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }
}
