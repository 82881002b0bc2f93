package org.currantslip.core.port;

/** A failed call to the object API. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known about the failed call. */
  public enum Kind {
    /** The condition did not hold: the object exists, is missing or has another version. */
    CONFLICT,
    /** The call had no effect: not sent, refused or rate-limited. */
    NOT_DONE,
    /** The answer was lost or late; the call may have taken effect. */
    OUTCOME_UNKNOWN,
    /** The changes asked for are no longer kept; the objects have to be listed again. */
    HISTORY_GONE
  }

  private final Kind kind;

  private StoreException(Kind kind, String detail) {
    super(detail, null, false, false);
    this.kind = kind;
  }

  /** Returns a failure of this kind. */
  public static StoreException of(Kind kind, String detail) {
    return new StoreException(kind, detail);
  }

  /** Returns what is known about the failed call. */
  public Kind kind() {
    return kind;
  }
}
