package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/** Reads the ids of server-sent events. Ids increase within a stream. */
final class EventIds {
  private static final String FIELD = "id:";

  private EventIds() {}

  /** Returns the id of an event, or an empty string if it has none. */
  static String of(ByteString event) {
    return event
        .toStringUtf8()
        .lines()
        .filter(line -> line.startsWith(FIELD))
        .map(line -> line.substring(FIELD.length()).strip())
        .reduce("", (first, last) -> last);
  }

  /** Returns whether an event follows another; true if either id is not a number. */
  static boolean isAfter(ByteString event, ByteString before) {
    try {
      return Long.parseLong(of(event)) > Long.parseLong(of(before));
    } catch (NumberFormatException e) {
      return true;
    }
  }
}
