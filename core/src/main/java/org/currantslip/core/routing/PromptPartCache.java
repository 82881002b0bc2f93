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
 * are evicted first, by the tokens that an engine can cache and by the number that this node
 * remembers.
 */
final class PromptPartCache {
  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  /** Most of a typical engine's cache; running requests use the rest. */
  private static final long MAX_CACHED_TOKENS = 450_000;

  /** Several times the parts of usual length that fit into an engine's cache. */
  static final int MAX_PARTS = 2_048;

  private final LinkedHashMap<String, Long> tokensById =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long cachedTokens;
  private int maxParts = MAX_PARTS;

  private PromptPartCache() {}

  static PromptPartCache create() {
    return new PromptPartCache();
  }

  /** Limits the number of remembered parts. */
  void setMaxParts(int parts) {
    maxParts = Math.min(MAX_PARTS, parts);
    evict();
  }

  /** Returns the number of remembered parts. */
  int size() {
    return tokensById.size();
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
   * Marks the parts of a prompt as most recently used and evicts the oldest parts over the limits.
   */
  void add(String model, List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      Long previous = tokensById.put(key(model, part), part.tokens());
      cachedTokens += part.tokens() - (previous == null ? 0 : previous);
    }
    evict();
  }

  private void evict() {
    Iterator<Map.Entry<String, Long>> eldest = tokensById.entrySet().iterator();
    while ((cachedTokens > MAX_CACHED_TOKENS || tokensById.size() > maxParts) && eldest.hasNext()) {
      cachedTokens -= eldest.next().getValue();
      eldest.remove();
    }
  }
}
