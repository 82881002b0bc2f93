package org.currantslip.core.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.route.PromptPart;

/**
 * Estimates which prompt parts an endpoint has cached, from the prompts that were sent there.
 *
 * <p>A part counts as cached only if all parts before it are cached. The least recently used parts
 * are evicted first.
 */
final class PromptPartCache {
  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  /** Most of a typical engine's cache; running requests use the rest. */
  private static final long MAX_CACHED_TOKENS = 450_000;

  private final LinkedHashMap<String, Long> tokensById =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long cachedTokens;

  private PromptPartCache() {}

  static PromptPartCache create() {
    return new PromptPartCache();
  }

  private static String key(String model, PromptPart part) {
    return model + '/' + part.id();
  }

  /** Returns how many tokens of a prompt are not cached for a model. */
  long uncachedTokens(String model, List<PromptPart> prompt) {
    long uncached = 0;
    boolean prefixBroken = false;
    for (PromptPart part : prompt) {
      prefixBroken |= !tokensById.containsKey(key(model, part));
      uncached += prefixBroken ? part.tokens() : 0;
    }
    return uncached;
  }

  /**
   * Marks the parts of a prompt as most recently used and evicts the oldest parts over the limit.
   */
  void add(String model, List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      Long previous = tokensById.put(key(model, part), part.tokens());
      cachedTokens += part.tokens() - (previous == null ? 0 : previous);
    }
    Iterator<Map.Entry<String, Long>> eldest = tokensById.entrySet().iterator();
    while (cachedTokens > MAX_CACHED_TOKENS && eldest.hasNext()) {
      cachedTokens -= eldest.next().getValue();
      eldest.remove();
    }
  }
}
