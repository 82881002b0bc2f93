package org.currantslip.bench.config;

import org.currantslip.core.fake.FakeObjectStore;

/** A fleet on a simulated clock that propagates configuration changes by one particular method. */
interface SimulatedFleet {
  /** Returns the object store that all nodes share. */
  FakeObjectStore store();

  /** Starts to store new rules from a node, as the successor of version {@code baseVersion}. */
  void apply(String node, long baseVersion, String rules);

  /**
   * Returns the number of nodes, frozen ones excepted, that have a version or a later one in force.
   */
  long countAtVersion(long version);

  /** Suspends a node as SIGSTOP does; what is sent to it is delivered once it is thawed. */
  void freeze(String node);

  void thaw(String node);

  /** Sets whether the other nodes suspect a node of having failed. */
  void setSuspected(String node, boolean suspected);

  /** Advances the simulated clock by one millisecond. */
  void advanceOneMs();

  /** Returns the number of bytes that nodes have sent to peers so far. */
  long peerBytes();
}
