package org.currantslip.adapter.http;

/** Thrown when a platform service other than the object API returns no usable response. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private PlatformException(String detail) {
    super(detail, null, false, false);
  }

  /** Returns an exception with this explanation. */
  public static PlatformException of(String detail) {
    return new PlatformException(detail);
  }
}
