package org.currantslip.core.ledger;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.currantslip.schema.LedgerIntent;

/** Slot assignment and object names of the ledger. */
final class LedgerNames {
  /** Number of slots; must be the same on every node of a deployment. */
  static final int SLOT_COUNT = 4;

  private LedgerNames() {}

  static String keyOf(LedgerIntent intent) {
    return intent.getAccount() + '\n' + intent.getKey();
  }

  static int slotOf(LedgerIntent intent) {
    int hash = Hashing.murmur3_32_fixed().hashString(keyOf(intent), StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, SLOT_COUNT);
  }

  /** Returns the name prefix of a slot's segments; the snapshot does not match it. */
  static String segmentPrefix(int slot) {
    return String.format(Locale.ROOT, "ledger/%02d/0", slot);
  }

  static String segment(int slot, long sequence) {
    return String.format(Locale.ROOT, "ledger/%02d/%016d", slot, sequence);
  }

  static String snapshot(int slot) {
    return String.format(Locale.ROOT, "ledger/%02d/snapshot", slot);
  }

  static String part(int slot, long throughSequence) {
    return String.format(Locale.ROOT, "ledger-parts/%02d/%016d", slot, throughSequence);
  }
}
