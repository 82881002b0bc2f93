package org.currantslip.core.ledger;

import java.util.Optional;
import org.currantslip.schema.LedgerPartRef;

/**
 * The result of looking up a key in a {@link SlotView}.
 *
 * @param state the state of the key, if present
 * @param missingPart a part that must be loaded before the lookup can complete, if any
 */
record Lookup(Optional<KeyState> state, Optional<LedgerPartRef> missingPart) {
  static Lookup found(KeyState state) {
    return new Lookup(Optional.of(state), Optional.empty());
  }

  static Lookup absent() {
    return new Lookup(Optional.empty(), Optional.empty());
  }

  static Lookup needsPart(LedgerPartRef part) {
    return new Lookup(Optional.empty(), Optional.of(part));
  }
}
