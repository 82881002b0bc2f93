package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events (HTML Living Standard, section 9.2.5) into complete events
 * without changing a byte. Each event includes the blank line that ends it. Lines end with LF, CR
 * or CRLF.
 */
public final class EventSplitter {
  private final Consumer<ByteString> events;
  private ByteString partial = ByteString.EMPTY;
  private boolean lineEmpty = true;
  private boolean afterCr;

  /** Whether the last line ended with CRLF, so that one may follow a CR that ends a chunk. */
  private boolean crlf;

  /** Whether an event is complete but for the LF of its blank line. */
  private boolean lineFeedDue;

  /** Whether the previous byte, a CR, ended an event that was passed on. */
  private boolean eventEnded;

  private boolean empty = true;

  private EventSplitter(Consumer<ByteString> events) {
    this.events = events;
  }

  /** Returns a splitter that passes each complete event to {@code events}. */
  public static EventSplitter create(Consumer<ByteString> events) {
    return new EventSplitter(events);
  }

  /** Processes the next bytes of the stream. */
  public void append(ByteBuffer bytes) {
    int start = bytes.position();
    empty &= !bytes.hasRemaining();
    for (int index = start; index < bytes.limit(); index++) {
      byte current = bytes.get(index);
      if (lineFeedDue && current != '\n') {
        lineFeedDue = false;
        start = accept(bytes, start, index);
      }
      boolean restOfLineEnd = current == '\n' && afterCr;
      boolean endsEvent = restOfLineEnd ? lineFeedDue || eventEnded : endsEvent(current);
      if (endsEvent && current == '\r' && isLineFeedDue(bytes, index + 1)) {
        lineFeedDue = true;
      } else if (endsEvent) {
        lineFeedDue = false;
        start = accept(bytes, start, index + 1);
      }
      crlf = restOfLineEnd || (crlf && lineEmpty && current == '\r');
      afterCr = current == '\r';
      eventEnded = endsEvent && afterCr && !lineFeedDue;
      lineEmpty = current == '\n' || current == '\r';
    }
    partial = partial.concat(ByteString.copyFrom(bytes.slice(start, bytes.limit() - start)));
    bytes.position(bytes.limit());
  }

  /** Returns whether a byte ends a blank line. */
  private boolean endsEvent(byte current) {
    return lineEmpty && (current == '\n' || current == '\r');
  }

  /** Returns whether the CR before an index is the first half of a line end, as far as is known. */
  private boolean isLineFeedDue(ByteBuffer bytes, int index) {
    return index < bytes.limit() ? bytes.get(index) == '\n' : crlf;
  }

  /** Passes the bytes before {@code end} on and returns {@code end}. */
  private int accept(ByteBuffer bytes, int start, int end) {
    ByteString tail = ByteString.copyFrom(bytes.slice(start, end - start));
    ByteString event = partial.concat(tail);
    partial = ByteString.EMPTY;
    events.accept(event);
    return end;
  }

  /** Returns whether no bytes were processed. */
  public boolean isEmpty() {
    return empty;
  }

  /** Returns the number of bytes after the last complete event. */
  public int partialBytes() {
    return partial.size();
  }

  /** Returns whether the bytes so far end before the blank line of their last event. */
  public boolean isInsideEvent() {
    return !partial.isEmpty();
  }
}
