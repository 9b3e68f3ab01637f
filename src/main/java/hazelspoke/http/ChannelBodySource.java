package hazelspoke.http;

import hazelspoke.core.BodyStream;
import io.netty.channel.Channel;

/** The side of an inflow that reads a channel, and pauses by reading no more from it. */
public abstract class ChannelBodySource implements BodyStream.Source {
  private final Channel channel;

  protected ChannelBodySource(Channel channel) {
    this.channel = channel;
  }

  @Override
  public void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }
}
