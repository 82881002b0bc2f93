package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events into whole events, each with its closing blank line, without
 * changing a byte.
 */
public final class EventSplitter {
  private final Consumer<ByteString> events;
  private ByteString partial = ByteString.EMPTY;
  private boolean lineEmpty = true;

  private EventSplitter(Consumer<ByteString> events) {
    this.events = events;
  }

  /** Returns a splitter that hands each event to {@code events}. */
  public static EventSplitter create(Consumer<ByteString> events) {
    return new EventSplitter(events);
  }

  /** Takes the next bytes of the stream. */
  public void feed(ByteBuffer bytes) {
    int start = bytes.position();
    for (int at = start; at < bytes.limit(); at++) {
      byte b = bytes.get(at);
      if (b == '\n') {
        if (lineEmpty) {
          int end = at + 1;
          ByteString rest = ByteString.copyFrom(bytes.slice(start, end - start));
          events.accept(partial.concat(rest));
          partial = ByteString.EMPTY;
          start = end;
        }
        lineEmpty = true;
      } else if (b != '\r') {
        lineEmpty = false;
      }
    }
    partial = partial.concat(ByteString.copyFrom(bytes.slice(start, bytes.limit() - start)));
    bytes.position(bytes.limit());
  }

  /** Returns what came after the last whole event. */
  public ByteString rest() {
    return partial;
  }
}
