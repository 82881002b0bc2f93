package org.currantslip.core.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Names of changed nodes that are still to be gossiped, each a limited number of times. */
final class GossipQueue {
  private final Map<String, Integer> remaining = new LinkedHashMap<>();

  private GossipQueue() {}

  static GossipQueue create() {
    return new GossipQueue();
  }

  /** Queues a changed node for {@code transmissions} heartbeats. */
  void add(String name, int transmissions) {
    remaining.remove(name);
    remaining.put(name, transmissions);
  }

  /** Returns the names for one heartbeat and counts one transmission of each. */
  List<String> take(int maxNames) {
    List<String> names = remaining.keySet().stream().limit(maxNames).toList();
    for (String name : names) {
      int transmissions = remaining.getOrDefault(name, 1) - 1;
      remaining.remove(name);
      if (transmissions > 0) {
        remaining.put(name, transmissions);
      }
    }
    return names;
  }
}
