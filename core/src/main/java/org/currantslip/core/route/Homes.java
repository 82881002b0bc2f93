package org.currantslip.core.route;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;

/**
 * Regions in which a request may be served.
 *
 * @param restricted whether only these regions are allowed
 * @param regions allowed regions; none of them may be left if two restrictions exclude each other
 */
public record Homes(boolean restricted, ImmutableSet<String> regions) {
  private static final Homes ALL = new Homes(false, ImmutableSet.of());

  /** Returns the homes of a request that may be served in all regions. */
  public static Homes all() {
    return ALL;
  }

  /** Returns the homes that a configured set of regions stands for; an empty set allows all. */
  public static Homes of(ImmutableSet<String> regions) {
    return regions.isEmpty() ? ALL : new Homes(true, regions);
  }

  /** Returns the homes that both allow. */
  public Homes and(Homes other) {
    if (!restricted) {
      return other;
    }
    return other.restricted
        ? new Homes(true, Sets.intersection(regions, other.regions).immutableCopy())
        : this;
  }

  /** Returns whether this region is allowed; an unknown region, which is empty, never is. */
  public boolean allows(String region) {
    return !restricted || (!region.isEmpty() && regions.contains(region));
  }
}
