package org.currantslip.adapter.endpoint;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventSplitterTest {
  private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\nid: 3\n";

  private final List<String> events = new ArrayList<>();
  private final EventSplitter splitter = EventSplitter.create(e -> events.add(e.toStringUtf8()));

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 100})
  void splitsEventsRegardlessOfChunkSize(int chunkSize) {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int offset = 0; offset < bytes.length; offset += chunkSize) {
      splitter.append(ByteBuffer.wrap(bytes, offset, Math.min(chunkSize, bytes.length - offset)));
    }
    assertThat(events)
        .containsExactly("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", ": c\n\n")
        .inOrder();
    assertThat(splitter.isInsideEvent()).isTrue();
    splitter.append(ByteBuffer.wrap(new byte[] {'\n'}));
    assertThat(events.get(3)).isEqualTo("id: 3\n\n");
  }

  @Test
  void isNotInsideEventAfterItsBlankLine() {
    splitter.append(ByteBuffer.wrap("data: a\n\n".getBytes(StandardCharsets.UTF_8)));
    assertThat(splitter.isInsideEvent()).isFalse();
  }

  /** Guards against streams that count as one endless event, or as cut, for their line ends. */
  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r", "\r\n"})
  void eventsEndWithAnyLineEndWhereverTheyAreCut(String lineEnd) {
    String event = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
    String stream = event + ": c" + lineEnd + lineEnd + event;
    byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
    for (int cut = 0; cut <= bytes.length; cut++) {
      List<String> parts = new ArrayList<>();
      EventSplitter cutSplitter = EventSplitter.create(e -> parts.add(e.toStringUtf8()));
      cutSplitter.append(ByteBuffer.wrap(bytes, 0, cut));
      cutSplitter.append(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
      assertThat(String.join("", parts)).isEqualTo(stream);
      assertThat(parts.stream().filter(e -> e.contains("id"))).hasSize(2);
      assertThat(cutSplitter.isInsideEvent()).isFalse();
    }
  }
}
