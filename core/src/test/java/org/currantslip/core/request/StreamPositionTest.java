package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a continued stream that repeats or leaves out events. */
final class StreamPositionTest {
  private final StreamPosition position = StreamPosition.after("");

  private StreamPosition.Action accept(String block) {
    return position.accept(ByteString.copyFromUtf8(block));
  }

  private static String event(int id) {
    return "id: %d\ndata: x\n\n".formatted(id);
  }

  /** Guards against a run that starts from the beginning behind a block that is no event. */
  @ParameterizedTest
  @ValueSource(strings = {": keep-alive\n\n", "retry: 10\n\n", "\n", ":\n\n", "event: x\n\n"})
  void blocksThatAreNoEventsLeaveThePosition(String block) {
    assertThat(accept(event(1))).isEqualTo(StreamPosition.Action.PASS);
    assertThat(accept(block)).isEqualTo(StreamPosition.Action.PASS_COMMENT);
    assertThat(position.lastId()).isEqualTo("1");
    assertThat(position.isContinuable()).isTrue();
    position.onContinued();
    assertThat(accept(block)).isEqualTo(StreamPosition.Action.PASS_COMMENT);
    assertThat(accept(event(1))).isEqualTo(StreamPosition.Action.DROP);
    assertThat(accept(event(2))).isEqualTo(StreamPosition.Action.PASS);
  }

  /** Guards against repeated events that cannot be told from new ones. */
  @ParameterizedTest
  @CsvSource({
    "data: x",
    "id: y",
    "id:",
    "id",
    "id: 2",
    "id: 1",
    "id: 99999999999999999999",
    "id: -3"
  })
  void streamWithOtherIdsIsPassedOnButNotContinued(String line) {
    assertThat(accept(event(2))).isEqualTo(StreamPosition.Action.PASS);
    assertThat(accept(line + "\ndata: z\n\n")).isEqualTo(StreamPosition.Action.PASS);
    assertThat(accept(event(9))).isEqualTo(StreamPosition.Action.PASS);
    assertThat(position.isContinuable()).isFalse();
  }

  @Test
  void continuedRunWithEventsWithoutIdIsCut() {
    assertThat(accept(event(2))).isEqualTo(StreamPosition.Action.PASS);
    position.onContinued();
    assertThat(accept("data: x\n\n")).isEqualTo(StreamPosition.Action.CUT);
  }

  @Test
  void markOfContinuedRunIsRemoved() {
    ByteString marked = ByteString.copyFromUtf8("\ufeff" + event(3));
    assertThat(position.withoutMark(marked)).isEqualTo(marked);
    position.onContinued();
    assertThat(position.withoutMark(marked).toStringUtf8()).isEqualTo(event(3));
  }

  /** Continues a stream after each of its blocks, with a run that repeats any number of them. */
  @Test
  void continuedStreamIsTheUnbrokenOne() {
    List<String> stream =
        List.of(event(3), ": c\n\n", event(4), "retry: 1\n\n", event(7), event(8));
    for (int broken = 1; broken <= stream.size(); broken++) {
      for (int from = 0; from <= broken; from++) {
        StreamPosition continued = StreamPosition.after("");
        StringBuilder passed = new StringBuilder();
        pass(continued, stream.subList(0, broken), passed);
        continued.onContinued();
        pass(continued, stream.subList(from, stream.size()), passed);
        assertThat(passed.toString()).isEqualTo(event(3) + event(4) + event(7) + event(8));
      }
    }
  }

  private static void pass(StreamPosition to, List<String> blocks, StringBuilder passed) {
    Stream<String> events =
        blocks.stream()
            .filter(b -> to.accept(ByteString.copyFromUtf8(b)) == StreamPosition.Action.PASS);
    events.forEach(passed::append);
  }
}
