package org.currantslip.core.port;

/** Thrown when a request could not be sent to a peer or its reply did not arrive in time. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean notSent;

  private PeerException(String detail, boolean notSent) {
    super(detail, null, false, false);
    this.notSent = notSent;
  }

  /** Returns an exception with this detail message. */
  public static PeerException of(String detail) {
    return new PeerException(detail, false);
  }

  /** Returns an exception for a request that the peer has certainly not received. */
  public static PeerException notSent(String detail) {
    return new PeerException(detail, true);
  }

  /** Returns whether the peer has certainly not received the request. */
  public boolean isNotSent() {
    return notSent;
  }
}
