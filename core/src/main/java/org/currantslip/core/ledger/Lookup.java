package org.currantslip.core.ledger;

import java.util.Optional;
import org.currantslip.schema.LedgerPartRef;

/**
 * What a slot view knows of a key.
 *
 * @param state the key's state, if it has one
 * @param missing a part that must be read first, if there is one
 */
record Lookup(Optional<KeyState> state, Optional<LedgerPartRef> missing) {
  static Lookup found(KeyState state) {
    return new Lookup(Optional.of(state), Optional.empty());
  }

  static Lookup absent() {
    return new Lookup(Optional.empty(), Optional.empty());
  }

  static Lookup missing(LedgerPartRef part) {
    return new Lookup(Optional.empty(), Optional.of(part));
  }
}
