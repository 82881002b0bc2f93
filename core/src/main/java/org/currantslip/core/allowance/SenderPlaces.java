package org.currantslip.core.allowance;

import java.util.Optional;

/** The order in which nodes may use an endpoint that few may use; the same on all nodes. */
public interface SenderPlaces {
  /** Place of a node that may use none. */
  int NONE = Integer.MAX_VALUE;

  /** Returns this node's place in the order of an endpoint, from zero on, or {@link #NONE}. */
  int placeOf(String endpointId);

  /** Returns the name of the node in the first place, which may not be this node's to use yet. */
  Optional<String> first(String endpointId);

  /** Returns the number of nodes that have or may get a place. */
  int count();

  /** Returns the time at which the order or this node's right to a place last changed. */
  long changedMs();

  /** Updates the order. */
  default void tick() {}

  /** Returns the places of a node that is the only one. */
  static SenderPlaces alone(String name) {
    return new SenderPlaces() {
      @Override
      public int placeOf(String endpointId) {
        return 0;
      }

      @Override
      public Optional<String> first(String endpointId) {
        return Optional.of(name);
      }

      @Override
      public int count() {
        return 1;
      }

      @Override
      public long changedMs() {
        return Long.MIN_VALUE / 2;
      }
    };
  }
}
