package hazelspoke.front.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that is rejected; the message is a short text for its sender. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient HttpResponseStatus status;

  BadRequestException(HttpResponseStatus status, String message) {
    super(message);
    this.status = status;
  }

  HttpResponseStatus status() {
    return status;
  }
}
