package org.currantslip.core.reach;

import java.util.Set;

/** What other nodes say of their paths to endpoints. */
public interface ReachPeers {
  /** Returns whether a peer has heard an endpoint of one of these services since a time. */
  boolean heardSince(Set<String> services, long sinceMs);

  /** Returns whether no peer has ever reported. */
  boolean isEmpty();

  /** Asks peers for their reports; the replies arrive later. */
  void ask();

  /** Returns the peers of a node that serves alone. */
  static ReachPeers none() {
    return new ReachPeers() {
      @Override
      public boolean heardSince(Set<String> services, long sinceMs) {
        return false;
      }

      @Override
      public boolean isEmpty() {
        return true;
      }

      @Override
      public void ask() {}
    };
  }
}
