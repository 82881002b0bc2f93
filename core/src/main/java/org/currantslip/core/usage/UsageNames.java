package org.currantslip.core.usage;

import java.util.Locale;
import org.currantslip.schema.NodeId;

/** Object names of usage batches. */
final class UsageNames {
  static final String PREFIX = "usage/";

  private UsageNames() {}

  /** Returns the name of a batch; levels above zero hold records missing from the lower levels. */
  static String batch(NodeId owner, long sequence, int level) {
    String name =
        String.format(
            Locale.ROOT,
            "%s%s/%020d/%016d",
            PREFIX,
            owner.getName(),
            owner.getIncarnation(),
            sequence);
    return level == 0 ? name : name + String.format(Locale.ROOT, "-%04d", level);
  }
}
