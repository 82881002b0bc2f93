package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/**
 * Position in a stream of server-sent events (HTML Living Standard, section 9.2) that several runs
 * produce one after another.
 *
 * <p>A run that continues the stream of an earlier one may repeat events, which their ids show. The
 * platform numbers events in increasing order; a stream with other ids, or with events without ids,
 * is passed on unchanged but cannot be continued, because its repeated events could not be told
 * from new ones.
 */
final class StreamPosition {
  /** What to do with a block of lines. */
  enum Action {
    /** An event that the caller does not have yet. */
    PASS,
    /** Comments or settings; they keep the connection open but are no progress. */
    PASS_COMMENT,
    /** An event that the caller has. */
    DROP,
    /** An event of a continued stream of which it is unknown whether the caller has it. */
    CUT
  }

  private static final long NO_ID = -1;

  private String lastId;
  private long lastNumber = NO_ID;
  private boolean continuable = true;
  private boolean repeating;

  private StreamPosition(String lastId) {
    this.lastId = lastId;
  }

  /** Returns the position of a caller that has the events up to an id; empty if it has none. */
  static StreamPosition after(String lastId) {
    return new StreamPosition(lastId);
  }

  /** Returns the id after which another run continues, or empty if it starts from the beginning. */
  String lastId() {
    return lastId;
  }

  /** Returns whether another run can continue after the events that were passed on. */
  boolean isContinuable() {
    return continuable;
  }

  /** Begins a run that continues after events that were passed on. */
  void onContinued() {
    repeating = true;
  }

  /** Returns the block without a byte order mark if it would not be the first of the stream. */
  ByteString withoutMark(ByteString block) {
    return repeating ? EventFields.withoutMark(block) : block;
  }

  /** Moves the position past a block of lines, unless it is dropped or cut. */
  Action accept(ByteString block) {
    EventFields fields = EventFields.parse(block);
    if (!fields.isEvent()) {
      return Action.PASS_COMMENT;
    }
    long number = fields.idNumber();
    if (repeating) {
      if (number < 0) {
        return Action.CUT;
      }
      if (number <= lastNumber) {
        return Action.DROP;
      }
      repeating = false;
    }
    continuable &= number > lastNumber;
    lastNumber = number;
    lastId = fields.id();
    return Action.PASS;
  }
}
