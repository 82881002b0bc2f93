package org.currantslip.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that drops the entry that was used least recently when it is full. */
final class RecentMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  private final int maxEntries;

  private RecentMap(int maxEntries) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maxEntries = maxEntries;
  }

  static <K, V> RecentMap<K, V> ofSize(int maxEntries) {
    return new RecentMap<>(maxEntries);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
