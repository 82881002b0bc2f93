package org.currantslip.core.port;

import com.google.common.collect.ComparisonChain;
import org.jspecify.annotations.Nullable;

/**
 * Point in the history of the store.
 *
 * <p>A store that returns from an older copy of its data assigns revisions a second time, so that
 * revisions are comparable within one era only.
 *
 * @param era number of times that the store returned from an older copy
 * @param revision revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** The position of a node that has read nothing yet. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  /** Returns a position in the first era. */
  public static StorePosition of(long revision) {
    return new StorePosition(0, revision);
  }

  /** Returns whether this position is later than another. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(StorePosition other) {
    return ComparisonChain.start()
        .compare(era, other.era)
        .compare(revision, other.revision)
        .result();
  }

  // Written out: the generated methods run through method handles, which the JVM's first compiler,
  // the only one that nodes use, does not inline, and which each process links again.
  @Override
  public boolean equals(@Nullable Object obj) {
    return obj instanceof StorePosition other && era == other.era && revision == other.revision;
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(era) + Long.hashCode(revision);
  }
}
