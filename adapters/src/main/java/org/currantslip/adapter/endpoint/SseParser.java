package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Cuts a stream of server-sent events into their payloads. */
final class SseParser {
  private static final ByteString DATA_FIELD = ByteString.copyFromUtf8("data:");
  private static final ByteString LINE_FEED = ByteString.copyFromUtf8("\n");

  private final Consumer<ByteString> events;
  private ByteString partialLine = ByteString.EMPTY;
  private @Nullable ByteString payload;

  private SseParser(Consumer<ByteString> events) {
    this.events = events;
  }

  /** Returns a parser that hands each event's payload to {@code events}. */
  static SseParser create(Consumer<ByteString> events) {
    return new SseParser(events);
  }

  /** Takes the next bytes of the stream. */
  void feed(ByteBuffer bytes) {
    int start = bytes.position();
    for (int at = start; at < bytes.limit(); at++) {
      if (bytes.get(at) == '\n') {
        line(partialLine.concat(ByteString.copyFrom(bytes.slice(start, at - start))));
        partialLine = ByteString.EMPTY;
        start = at + 1;
      }
    }
    partialLine =
        partialLine.concat(ByteString.copyFrom(bytes.slice(start, bytes.limit() - start)));
    bytes.position(bytes.limit());
  }

  private void line(ByteString raw) {
    boolean carriageReturn = !raw.isEmpty() && raw.byteAt(raw.size() - 1) == '\r';
    ByteString line = carriageReturn ? raw.substring(0, raw.size() - 1) : raw;
    if (line.isEmpty()) {
      endEvent();
    } else if (line.startsWith(DATA_FIELD)) {
      boolean space = line.size() > DATA_FIELD.size() && line.byteAt(DATA_FIELD.size()) == ' ';
      ByteString text = line.substring(DATA_FIELD.size() + (space ? 1 : 0));
      payload = payload == null ? text : payload.concat(LINE_FEED).concat(text);
    }
  }

  private void endEvent() {
    if (payload != null) {
      ByteString whole = payload;
      payload = null;
      events.accept(whole);
    }
  }
}
