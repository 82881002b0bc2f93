package org.currantslip.core.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.route.PromptPart;

/**
 * The parts of prompts that an endpoint is believed to keep, from what this node sent there.
 *
 * <p>A part counts as kept only if all parts before it are. The least recently used parts make
 * room.
 */
final class PartCache {
  private static final float LOAD_FACTOR = 0.75f;
  private static final int START_CAPACITY = 64;

  /** Half of a usual engine's memory; running requests and other nodes' parts take the rest. */
  private static final long MAX_TOKENS = 250_000;

  private final LinkedHashMap<String, Long> tokensById =
      new LinkedHashMap<>(START_CAPACITY, LOAD_FACTOR, true);
  private long tokens;

  private PartCache() {}

  static PartCache create() {
    return new PartCache();
  }

  private static String key(String model, PromptPart part) {
    return model + '/' + part.id();
  }

  /** Returns how many tokens of a prompt are not kept for a model. */
  long missing(String model, List<PromptPart> prompt) {
    long missing = 0;
    boolean broken = false;
    for (PromptPart part : prompt) {
      broken |= !tokensById.containsKey(key(model, part));
      missing += broken ? part.tokens() : 0;
    }
    return missing;
  }

  /** Notes the parts of a prompt as the most recently used ones. */
  void hold(String model, List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      Long before = tokensById.put(key(model, part), part.tokens());
      tokens += part.tokens() - (before == null ? 0 : before);
    }
    Iterator<Map.Entry<String, Long>> eldest = tokensById.entrySet().iterator();
    while (tokens > MAX_TOKENS && eldest.hasNext()) {
      tokens -= eldest.next().getValue();
      eldest.remove();
    }
  }
}
