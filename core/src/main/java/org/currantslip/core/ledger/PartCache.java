package org.currantslip.core.ledger;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerPart;
import org.jspecify.annotations.Nullable;

/** An LRU cache of the parts of all slots. Parts are immutable once a snapshot lists them. */
final class PartCache {
  private static final int MAX_PARTS = 16;

  private final LinkedHashMap<String, Map<String, KeyState>> parts =
      new LinkedHashMap<>(MAX_PARTS * 2, 0.75f, true);

  private PartCache() {}

  static PartCache create() {
    return new PartCache();
  }

  @Nullable Map<String, KeyState> find(int slot, long throughSequence) {
    return parts.get(LedgerNames.part(slot, throughSequence));
  }

  void put(LedgerPart part) {
    Map<String, KeyState> states = new HashMap<>();
    for (LedgerIntent intent : part.getIntentList()) {
      states.put(LedgerNames.keyOf(intent), KeyState.of(intent, part.getThroughSequence()));
    }
    for (LedgerOutcome outcome : part.getOutcomeList()) {
      states.put(
          LedgerNames.keyOf(outcome.getIntent()), KeyState.of(outcome, part.getThroughSequence()));
    }
    parts.put(LedgerNames.part(part.getSlot(), part.getThroughSequence()), states);
    if (parts.size() > MAX_PARTS) {
      parts.remove(parts.keySet().iterator().next());
    }
  }
}
