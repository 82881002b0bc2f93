package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into complete events without changing a byte. Each event
 * includes the blank line that ends it.
 */
public final class EventSplitter {
  private final Consumer<ByteString> events;
  private ByteString partial = ByteString.EMPTY;
  private boolean lineEmpty = true;
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
      if (current == '\n') {
        if (lineEmpty) {
          int end = index + 1;
          ByteString tail = ByteString.copyFrom(bytes.slice(start, end - start));
          events.accept(partial.concat(tail));
          partial = ByteString.EMPTY;
          start = end;
        }
        lineEmpty = true;
      } else if (current != '\r') {
        lineEmpty = false;
      }
    }
    partial = partial.concat(ByteString.copyFrom(bytes.slice(start, bytes.limit() - start)));
    bytes.position(bytes.limit());
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
