package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a resumed stream that repeats or leaves out events. */
final class EventIdsTest {
  private static final Map<String, String> IDS =
      Map.of(
          "id: 7\ndata: a\n\n", "7",
          "data: a\r\nid:8\r\n\r\n", "8",
          "id: 1\rid: 2\r\r", "2",
          "data: id: 3\n\n", "",
          " id: 3\n\n", "",
          "id", "",
          "id:", "",
          "id: é ", "é",
          "", "");

  @Test
  void idIsThatOfTheLastIdLine() {
    IDS.forEach(
        (event, id) ->
            assertWithMessage(event)
                .that(EventIds.of(ByteString.copyFromUtf8(event)))
                .isEqualTo(id));
  }

  @Test
  void eventsWithoutNumbersAlwaysFollow() {
    assertThat(isAfter("id: 2\n\n", "id: 1\n\n")).isTrue();
    assertThat(isAfter("id: 2\n\n", "id: 2\n\n")).isFalse();
    assertThat(isAfter("id: 1\n\n", "id: 2\n\n")).isFalse();
    assertThat(isAfter("data: a\n\n", "id: 2\n\n")).isTrue();
    assertThat(isAfter("id: x\n\n", "id: 2\n\n")).isTrue();
    assertThat(isAfter("id: 2\n\n", "data: a\n\n")).isTrue();
  }

  private static boolean isAfter(String event, String before) {
    return EventIds.isAfter(ByteString.copyFromUtf8(event), ByteString.copyFromUtf8(before));
  }
}
