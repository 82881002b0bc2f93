package org.currantslip.core.port;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;

/**
 * Lists and watches the objects of a kind.
 *
 * <p>Futures fail with {@link StoreException} and complete on the thread that owns the state of the
 * calling component.
 */
public interface KindStore {
  /** Reads the page of objects whose names follow {@code startAfter}; empty for the first page. */
  CompletableFuture<KindPage> listKind(String kind, String startAfter);

  /**
   * Reads a page like {@link #listKind}, but at a lower price and possibly as of some seconds ago.
   */
  default CompletableFuture<KindPage> listKindStale(String kind, String startAfter) {
    return listKind(kind, startAfter);
  }

  /**
   * Waits up to {@code waitMs} for changes after a position; returns no changes on timeout. Fails
   * with {@link StoreException.Kind#HISTORY_GONE} if the store has discarded the changes.
   */
  CompletableFuture<KindChanges> watchKind(String kind, StorePosition after, long waitMs);

  /** Returns whether a watch that starts now reports every change after its position. */
  default boolean watchesAreComplete() {
    return false;
  }

  /** Makes the cheapest possible read and returns the era of the store. */
  CompletableFuture<Long> probe();

  /**
   * Returns a number that has risen if any part of a successful response has arrived since the
   * previous call.
   */
  default long receivedParts() {
    return 0;
  }

  /**
   * Replaces the status of an object whose version must be {@code expectedVersion}; returns the new
   * version.
   */
  CompletableFuture<Long> putStatus(
      String kind, String name, ByteString status, long expectedVersion);
}
