package org.currantslip.core.port;

/** Thrown when a request could not be sent to a peer or its reply did not arrive in time. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private PeerException(String detail) {
    super(detail, null, false, false);
  }

  /** Returns an exception with this detail message. */
  public static PeerException of(String detail) {
    return new PeerException(detail);
  }
}
