package org.currantslip.adapter.http;

/** A call to a platform service, other than the object API, that gave no usable answer. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private PlatformException(String detail) {
    super(detail, null, false, false);
  }

  /** Returns a failure with this explanation. */
  public static PlatformException of(String detail) {
    return new PlatformException(detail);
  }
}
