package org.currantslip.standin.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.Random;

/** Holds the faults of a stand-in and selects those that apply to a request. */
public final class FaultSwitch {
  private final Random random;

  @GuardedBy("this")
  private FaultSet faults = FaultSet.NONE;

  @GuardedBy("this")
  private int remaining;

  private FaultSwitch(long seed) {
    random = new Random(seed);
  }

  /** Returns an instance without faults; {@code seed} determines the random draws. */
  public static FaultSwitch create(long seed) {
    return new FaultSwitch(seed);
  }

  /** Replaces all faults. */
  public synchronized void set(FaultSet next) {
    faults = next;
    remaining = next.times();
  }

  /** Returns the faults as last set. */
  public synchronized FaultSet current() {
    return faults;
  }

  /** Returns the faults for the next request to a path, and counts it against the limit. */
  synchronized FaultSet activeFor(String path) {
    if (faults.equals(FaultSet.NONE) || !path.startsWith(faults.path())) {
      return FaultSet.NONE;
    }
    if (faults.times() > 0 && remaining-- <= 0) {
      remaining = 0;
      return FaultSet.NONE;
    }
    return faults;
  }

  /** Returns true at random with probability {@code share}. */
  synchronized boolean draw(double share) {
    return share > 0 && random.nextDouble() < share;
  }
}
