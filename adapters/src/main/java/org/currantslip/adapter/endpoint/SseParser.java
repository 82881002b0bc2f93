package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Extracts the payloads from a stream of server-sent events. */
final class SseParser {
  private static final ByteString DATA_FIELD = ByteString.copyFromUtf8("data:");
  private static final ByteString LINE_FEED = ByteString.copyFromUtf8("\n");

  private final Consumer<ByteString> events;
  private ByteString partialLine = ByteString.EMPTY;
  private @Nullable ByteString payload;

  private SseParser(Consumer<ByteString> events) {
    this.events = events;
  }

  /** Returns a parser that passes the payload of each event to {@code events}. */
  static SseParser create(Consumer<ByteString> events) {
    return new SseParser(events);
  }

  /** Processes the next bytes of the stream. */
  void append(ByteBuffer bytes) {
    int start = bytes.position();
    for (int index = start; index < bytes.limit(); index++) {
      if (bytes.get(index) == '\n') {
        parseLine(partialLine.concat(ByteString.copyFrom(bytes.slice(start, index - start))));
        partialLine = ByteString.EMPTY;
        start = index + 1;
      }
    }
    partialLine =
        partialLine.concat(ByteString.copyFrom(bytes.slice(start, bytes.limit() - start)));
    bytes.position(bytes.limit());
  }

  private void parseLine(ByteString rawLine) {
    boolean endsWithCarriageReturn =
        !rawLine.isEmpty() && rawLine.byteAt(rawLine.size() - 1) == '\r';
    ByteString line = endsWithCarriageReturn ? rawLine.substring(0, rawLine.size() - 1) : rawLine;
    if (line.isEmpty()) {
      emitEvent();
    } else if (line.startsWith(DATA_FIELD)) {
      boolean hasLeadingSpace =
          line.size() > DATA_FIELD.size() && line.byteAt(DATA_FIELD.size()) == ' ';
      ByteString value = line.substring(DATA_FIELD.size() + (hasLeadingSpace ? 1 : 0));
      payload = payload == null ? value : payload.concat(LINE_FEED).concat(value);
    }
  }

  private void emitEvent() {
    if (payload != null) {
      ByteString complete = payload;
      payload = null;
      events.accept(complete);
    }
  }
}
