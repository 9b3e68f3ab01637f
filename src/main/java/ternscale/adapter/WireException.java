package ternscale.adapter;

/** Input that violates the wire protocol; the message names the line and the field. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
