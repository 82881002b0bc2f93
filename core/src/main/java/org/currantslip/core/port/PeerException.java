package org.currantslip.core.port;

/** A peer that could not be asked or did not reply in time. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private PeerException(String detail) {
    super(detail, null, false, false);
  }

  /** Returns a failure with this explanation. */
  public static PeerException of(String detail) {
    return new PeerException(detail);
  }
}
