package org.currantslip.core.port;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** Thrown when a call to the object API fails. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Effect of the failed call, as far as it is known. */
  public enum Kind {
    /** A precondition failed: the object exists, is missing or has another version. */
    CONFLICT,
    /** The call had no effect: it was not sent, was rejected or was rate-limited. */
    NOT_DONE,
    /** The response was lost or late; the call may have taken effect. */
    OUTCOME_UNKNOWN,
    /** The requested changes have been discarded; the objects must be listed again. */
    HISTORY_GONE,
    /** The call was not made, since another one has failed a moment ago. */
    DEFERRED,
    /** The source does not answer; another one may continue from the same position. */
    SOURCE_GONE
  }

  private final Kind kind;

  private StoreException(Kind kind, String detail) {
    super(detail, null, false, false);
    this.kind = kind;
  }

  /** Returns an exception of this kind with a detail message. */
  public static StoreException of(Kind kind, String detail) {
    return new StoreException(kind, detail);
  }

  /** Returns the failure of a call to the store that a future has reported, if it is one. */
  public static Optional<StoreException> find(@Nullable Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StoreException found ? Optional.of(found) : Optional.empty();
  }

  /** Returns whether a future has reported a failed call to the store of this kind. */
  public static boolean isOfKind(@Nullable Throwable failure, Kind kind) {
    return find(failure).filter(found -> found.kind == kind).isPresent();
  }

  /** Returns the effect of the failed call, as far as it is known. */
  public Kind kind() {
    return kind;
  }
}
