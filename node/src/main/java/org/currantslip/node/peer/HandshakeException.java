package org.currantslip.node.peer;

/** Thrown when a peer violates the handshake or cannot be authenticated. */
final class HandshakeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private HandshakeException(String detail) {
    super(detail, null, false, false);
  }

  static HandshakeException of(String detail) {
    return new HandshakeException(detail);
  }
}
