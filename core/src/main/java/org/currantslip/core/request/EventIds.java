package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/** Reads the ids of server-sent events. Ids increase within a stream. */
final class EventIds {
  private static final String FIELD = "id:";

  private EventIds() {}

  /** Returns the id of an event, or an empty string if it has none. */
  static String of(ByteString event) {
    String id = "";
    int start = 0;
    for (int end = 0; end <= event.size(); end++) {
      if (end == event.size() || isLineEnd(event.byteAt(end))) {
        if (isIdLine(event, start, end)) {
          id = event.substring(start + FIELD.length(), end).toStringUtf8().strip();
        }
        start = end + 1;
      }
    }
    return id;
  }

  private static boolean isLineEnd(byte character) {
    return character == '\n' || character == '\r';
  }

  private static boolean isIdLine(ByteString event, int start, int end) {
    return end - start >= FIELD.length()
        && event.byteAt(start) == FIELD.charAt(0)
        && event.byteAt(start + 1) == FIELD.charAt(1)
        && event.byteAt(start + 2) == FIELD.charAt(2);
  }

  /** Returns whether an event follows another; true if either id is not a number. */
  static boolean isAfter(ByteString event, ByteString before) {
    String id = of(event);
    String idBefore = of(before);
    if (id.isEmpty() || idBefore.isEmpty()) {
      return true;
    }
    try {
      return Long.parseLong(id) > Long.parseLong(idBefore);
    } catch (NumberFormatException e) {
      return true;
    }
  }
}
