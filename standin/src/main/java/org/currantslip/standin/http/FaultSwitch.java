package org.currantslip.standin.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.Random;

/** Decides which faults a request meets. */
public final class FaultSwitch {
  private final Random random;

  @GuardedBy("this")
  private FaultSet faults = FaultSet.NONE;

  @GuardedBy("this")
  private int left;

  private FaultSwitch(long seed) {
    random = new Random(seed);
  }

  /** Returns a switch without faults. */
  public static FaultSwitch create(long seed) {
    return new FaultSwitch(seed);
  }

  /** Replaces all faults. */
  public synchronized void set(FaultSet next) {
    faults = next;
    left = next.times();
  }

  /** Returns the faults as they were set. */
  public synchronized FaultSet current() {
    return faults;
  }

  /** Returns the faults that the next request for this path meets. */
  synchronized FaultSet next(String path) {
    if (faults.equals(FaultSet.NONE) || !path.startsWith(faults.path())) {
      return FaultSet.NONE;
    }
    if (faults.times() > 0 && left-- <= 0) {
      left = 0;
      return FaultSet.NONE;
    }
    return faults;
  }

  /** Draws whether a request falls into a share of all. */
  synchronized boolean draw(double share) {
    return share > 0 && random.nextDouble() < share;
  }
}
