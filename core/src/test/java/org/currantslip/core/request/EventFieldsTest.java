package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the fields of server-sent events. */
final class EventFieldsTest {
  private static final Map<String, String> IDS =
      Map.of(
          "id: 7\ndata: a\n\n", "7",
          "data: a\r\nid:8\r\n\r\n", "8",
          "id: 1\rid: 2\r\r", "2",
          "data: id: 3\n\n", "",
          " id: 3\n\n", "",
          "id", "",
          "id:", "",
          "id:  é", " é",
          "\ufeffid: 4\n\n", "4",
          "id: 5\nid: 6\u0000\n\n", "5");

  private static EventFields parse(String block) {
    return EventFields.parse(ByteString.copyFromUtf8(block));
  }

  @Test
  void idIsThatOfTheLastIdLine() {
    IDS.forEach((block, id) -> assertWithMessage(block).that(parse(block).id()).isEqualTo(id));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "\n", ": id: 3\n\n", "retry: 10\n\n", "event: x\n\n", "idea: 1\n\n"})
  void blockWithoutDataOrIdIsNoEvent(String block) {
    assertThat(parse(block).isEvent()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "", "1x", "-1", "99999999999999999999"})
  void otherIdsThanNumbersAreNone(String id) {
    assertThat(parse("id: " + id + "\n\n").idNumber()).isLessThan(0L);
  }
}
