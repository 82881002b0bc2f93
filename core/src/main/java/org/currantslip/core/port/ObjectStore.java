package org.currantslip.core.port;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API: versioned values, conditional updates and watches.
 *
 * <p>Futures fail with {@link StoreException}. A failure of kind {@link
 * StoreException.Kind#OUTCOME_UNKNOWN} may have taken effect. Futures complete on the thread that
 * owns the caller's state.
 */
public interface ObjectStore {
  /** Largest value the store accepts. */
  int MAX_VALUE_BYTES = 1 << 20;

  /** Reads an object. */
  CompletableFuture<Optional<StoredObject>> get(String name);

  /** Creates an object that must not exist and returns its version. */
  CompletableFuture<Long> create(String name, ByteString value);

  /** Replaces an object whose version must be {@code expectedVersion}; returns the new version. */
  CompletableFuture<Long> update(String name, ByteString value, long expectedVersion);

  /** Deletes an object whose version must be {@code expectedVersion}. */
  CompletableFuture<Void> delete(String name, long expectedVersion);

  /**
   * Lists objects whose names start with {@code prefix}, in name order, after {@code startAfter}
   * (empty for the first page).
   */
  CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit);

  /**
   * Waits until the object's version is above {@code afterVersion}, for at most {@code waitMs};
   * empty when it did not change. A missing object has version zero.
   */
  CompletableFuture<Optional<StoredObject>> watch(String name, long afterVersion, long waitMs);
}
