package org.currantslip.core.port;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;

/**
 * Lists and watches all objects of a kind.
 *
 * <p>Futures fail with {@link StoreException} and complete on the thread that owns the caller's
 * state.
 */
public interface KindFeed {
  /** Reads the page that follows a name; the first page follows the empty name. */
  CompletableFuture<KindPage> listKind(String kind, String startAfter);

  /**
   * Waits for changes after a revision, for at most {@code waitMs}; no changes come back when the
   * wait is over. Fails with {@link StoreException.Kind#HISTORY_GONE} when the store no longer has
   * the changes.
   */
  CompletableFuture<KindChanges> watchKind(String kind, long afterRevision, long waitMs);

  /** Replaces the status of an object that has this version; returns the new version. */
  CompletableFuture<Long> putStatus(
      String kind, String name, ByteString status, long expectedVersion);
}
