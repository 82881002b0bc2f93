package org.currantslip.core.membership;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Names of changed nodes that are still to be gossiped, each a limited number of times.
 *
 * <p>Urgent changes go first, then those that were sent least often: a departure during the start
 * of a large fleet does not wait for the news of all nodes that have joined.
 */
final class GossipQueue {
  private static final Comparator<Map.Entry<String, Item>> ORDER =
      Comparator.comparing((Map.Entry<String, Item> e) -> !e.getValue().urgent())
          .thenComparing(e -> -e.getValue().remaining());

  private record Item(int remaining, boolean urgent) {}

  private final Map<String, Item> items = new LinkedHashMap<>();

  private GossipQueue() {}

  static GossipQueue create() {
    return new GossipQueue();
  }

  /** Queues a changed node for {@code transmissions} heartbeats. */
  void add(String name, int transmissions, boolean urgent) {
    items.remove(name);
    items.put(name, new Item(transmissions, urgent));
  }

  /** Returns the names for one heartbeat and counts one transmission of each. */
  List<String> take(int maxNames) {
    List<String> names =
        items.entrySet().stream().sorted(ORDER).limit(maxNames).map(Map.Entry::getKey).toList();
    for (String name : names) {
      Item item = items.remove(name);
      if (item != null && item.remaining() > 1) {
        items.put(name, new Item(item.remaining() - 1, item.urgent()));
      }
    }
    return names;
  }
}
