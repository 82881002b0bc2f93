package org.currantslip.core.request;

import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;

/**
 * The fields of one block of a stream of server-sent events (HTML Living Standard, section 9.2.6).
 *
 * @param isEvent whether the block has data or an id; others hold comments, settings or nothing
 * @param id value of the last id field, or an empty string
 */
record EventFields(boolean isEvent, String id) {
  private static final ByteString MARK = ByteString.copyFromUtf8("\ufeff");
  private static final String DATA_FIELD = "data";
  private static final String ID_FIELD = "id";

  static EventFields parse(ByteString block) {
    boolean isEvent = false;
    String id = "";
    for (String line : withoutMark(block).toStringUtf8().lines().toList()) {
      int colon = line.indexOf(':');
      String name = colon < 0 ? line : line.substring(0, colon);
      isEvent |= name.equals(DATA_FIELD) || name.equals(ID_FIELD);
      if (name.equals(ID_FIELD)) {
        String value = colon < 0 ? "" : line.substring(colon + 1);
        String unpadded = value.startsWith(" ") ? value.substring(1) : value;
        id = unpadded.indexOf(0) < 0 ? unpadded : id;
      }
    }
    return new EventFields(isEvent, id);
  }

  /** Returns the id as a number, or a negative number if it is none. */
  long idNumber() {
    Long number = Longs.tryParse(id.strip());
    return number == null ? -1 : number;
  }

  /** Returns the block without the byte order mark with which a stream may begin. */
  static ByteString withoutMark(ByteString block) {
    return block.startsWith(MARK) ? block.substring(MARK.size()) : block;
  }
}
