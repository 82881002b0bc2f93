package org.currantslip.core.cascade;

import java.util.OptionalDouble;
import org.currantslip.core.route.Route;

/** Chooses which of a route's model sizes answers a request. */
public final class SizeCascade {
  private SizeCascade() {}

  /** Returns a cascade without evidence. */
  public static SizeCascade create() {
    return new SizeCascade();
  }

  /** Returns the size to ask first. */
  public int first(Route route) {
    return Math.max(0, route.modelSizes().size() - 1);
  }

  /** Returns whether the answer of a size may go to the caller. */
  public boolean accept(Route route, int size, OptionalDouble confidence) {
    return size >= route.modelSizes().size() - 1;
  }

  /** Returns the size to ask after this one's answer was not taken. */
  public int next(Route route, int size) {
    return Math.min(size + 1, route.modelSizes().size() - 1);
  }
}
