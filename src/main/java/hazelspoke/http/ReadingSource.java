package hazelspoke.http;

import hazelspoke.core.Inflow;
import io.netty.channel.Channel;

/** The side of an inflow that reads a channel, and pauses by reading no more from it. */
public abstract class ReadingSource implements Inflow.Source {
  private final Channel channel;

  protected ReadingSource(Channel channel) {
    this.channel = channel;
  }

  @Override
  public void flowing(boolean on) {
    channel.config().setAutoRead(on);
  }
}
