package org.currantslip.node.peer;

/** A peer that could not be authenticated. */
final class HandshakeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private HandshakeException(String detail) {
    super(detail, null, false, false);
  }

  static HandshakeException of(String detail) {
    return new HandshakeException(detail);
  }
}
