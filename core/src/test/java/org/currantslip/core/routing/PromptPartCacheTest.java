package org.currantslip.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a node remembers of the prompts that it sent. */
final class PromptPartCacheTest {
  private static final int MAX_PARTS_OF_NODE = 128_000;

  private static List<PromptPart> prompt(int from, int parts, long tokens) {
    return IntStream.range(from, from + parts)
        .mapToObj(i -> new PromptPart(Integer.toHexString(i), tokens))
        .toList();
  }

  /** Guards against a heap that prompts of many short parts fill. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 3})
  void shortPartsAreBoundedInNumber(long tokens) {
    PromptPartCache cache = PromptPartCache.create();
    for (int i = 0; i < 200; i++) {
      cache.add("m", prompt(650 * i, 650, tokens));
    }
    assertThat(cache.size()).isAtMost(PromptPartCache.MAX_PARTS);
    assertThat(cache.uncachedTokens("m", prompt(650 * 199, 650, tokens))).isEqualTo(0);
  }

  /** Guards against a bound for each endpoint that grows with their number. */
  @ParameterizedTest
  @CsvSource({"1, 2048", "13, 2048", "100, 1000", "2000, 64"})
  void partsOfAllEndpointsAreBounded(int endpoints, int parts) {
    EndpointPools pools = EndpointPools.create();
    pools.replace(
        IntStream.range(0, endpoints)
            .mapToObj(i -> EndpointRecord.newBuilder().setId("i" + i).setService("s").build())
            .toList());
    pools.states().forEach(state -> state.promptCache().add("m", prompt(0, 3_000, 1)));
    assertThat(pools.states().stream().mapToInt(s -> s.promptCache().size()).max()).hasValue(parts);
    assertThat(pools.states().stream().mapToInt(s -> s.promptCache().size()).sum())
        .isAtMost(MAX_PARTS_OF_NODE);
  }

  @Test
  void leastRecentlyUsedPartsAreEvicted() {
    PromptPartCache cache = PromptPartCache.create();
    cache.add("m", prompt(0, 3, 1));
    cache.setMaxParts(2);
    assertThat(cache.uncachedTokens("m", prompt(1, 2, 1))).isEqualTo(0);
    assertThat(cache.uncachedTokens("m", prompt(0, 1, 1))).isEqualTo(1);
  }
}
