package org.currantslip.core.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Names of nodes whose change is still to be told, each a limited number of times. */
final class News {
  private final Map<String, Integer> left = new LinkedHashMap<>();

  private News() {}

  static News create() {
    return new News();
  }

  /** Adds a change that is to be told {@code times} times. */
  void add(String name, int times) {
    left.remove(name);
    left.put(name, times);
  }

  /** Returns the names for one heartbeat and counts them as told once. */
  List<String> take(int max) {
    List<String> names = left.keySet().stream().limit(max).toList();
    for (String name : names) {
      int times = left.getOrDefault(name, 1) - 1;
      left.remove(name);
      if (times > 0) {
        left.put(name, times);
      }
    }
    return names;
  }
}
