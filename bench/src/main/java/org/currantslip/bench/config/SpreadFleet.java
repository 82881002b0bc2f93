package org.currantslip.bench.config;

import org.currantslip.core.fake.FakeObjectStore;

/** A fleet on a driven clock that takes changes of configuration in one of several ways. */
interface SpreadFleet {
  /** Returns the store of the fleet. */
  FakeObjectStore store();

  /** Starts to store a change of the rules on top of {@code base}. */
  void apply(String node, long base, String rules);

  /** Returns how many nodes that are not frozen have a version in force. */
  long reached(long version);

  void freeze(String node);

  void thaw(String node);

  void setSuspected(String node, boolean suspected);

  /** Lets one millisecond pass. */
  void step();

  /** Returns the bytes that nodes have sent each other. */
  long peerBytes();
}
