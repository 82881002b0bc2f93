package org.currantslip.core.port;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API: versioned values, conditional updates and watches.
 *
 * <p>Futures fail with {@link StoreException}. A call that fails with kind {@link
 * StoreException.Kind#OUTCOME_UNKNOWN} may have taken effect. Futures complete on the thread that
 * owns the state of the calling component.
 */
public interface ObjectStore {
  /** Maximum size of a value accepted by the store. */
  int MAX_VALUE_BYTES = 1 << 20;

  /** Reads an object; empty if it does not exist. */
  CompletableFuture<Optional<StoredObject>> get(String name);

  /** Creates an object that must not exist yet; returns its version. */
  CompletableFuture<Long> create(String name, ByteString value);

  /** Replaces an object whose version must be {@code expectedVersion}; returns the new version. */
  CompletableFuture<Long> update(String name, ByteString value, long expectedVersion);

  /** Deletes an object whose version must be {@code expectedVersion}. */
  CompletableFuture<Void> delete(String name, long expectedVersion);

  /**
   * Lists at most {@code limit} objects whose names start with {@code prefix} and follow {@code
   * startAfter} (empty for the first page), ordered by name.
   */
  CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit);

  /**
   * Waits up to {@code waitMs} until the object's version exceeds {@code afterVersion}; empty on
   * timeout. A missing object has version zero.
   */
  CompletableFuture<Optional<StoredObject>> watch(String name, long afterVersion, long waitMs);
}
