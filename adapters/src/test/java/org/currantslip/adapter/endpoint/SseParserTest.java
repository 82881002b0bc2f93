package org.currantslip.adapter.endpoint;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SseParserTest {
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "data: a~~data: b~~ | a,b",
        "data:a~~ | a",
        "data: a^~^~data: b^~^~ | a,b",
        ": comment~~data: a~~ | a",
        "event: x~id: 1~data: a~~ | a",
        "data: a~data: b~~ | a/b",
        "data: a~~data: cut | a",
        "data: a~~data: cut~ | a",
        "data: áé~~ | áé",
        "data:~~ | ''",
      })
  void parsesPayloadsRegardlessOfChunkBoundary(String stream, String expected) {
    byte[] bytes = stream.replace('~', '\n').replace('^', '\r').getBytes(StandardCharsets.UTF_8);
    for (int boundary = 0; boundary <= bytes.length; boundary++) {
      List<String> events = new ArrayList<>();
      SseParser parser = SseParser.create(e -> events.add(decode(e)));
      parser.append(ByteBuffer.wrap(bytes, 0, boundary));
      parser.append(ByteBuffer.wrap(bytes, boundary, bytes.length - boundary));
      assertThat(String.join(",", events)).isEqualTo(expected);
    }
  }

  private static String decode(ByteString event) {
    return event.toStringUtf8().replace('\n', '/');
  }
}
