package org.currantslip.core.mirror;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.currantslip.schema.MirrorObjects;

/** The packed copies that this node can send to peers; the least recently used ones are dropped. */
final class HeldCopies {
  private static final long MAX_HELD_BYTES = 8 << 20;

  /** Followers of the same position receive the same objects, which are packed once. */
  private static final int MAX_SOURCES = 4;

  private final Cache<ByteString, PackedCopy> byDigest =
      CacheBuilder.newBuilder()
          .maximumWeight(MAX_HELD_BYTES)
          .weigher((ByteString digest, PackedCopy copy) -> copy.packed().size())
          .concurrencyLevel(1)
          .build();
  private final Cache<MirrorObjects, PackedCopy> bySource =
      CacheBuilder.newBuilder().maximumSize(MAX_SOURCES).concurrencyLevel(1).build();

  private HeldCopies() {}

  static HeldCopies create() {
    return new HeldCopies();
  }

  /** Packs objects, unless that was done a moment ago, and holds the copy. */
  PackedCopy pack(MirrorObjects objects) {
    PackedCopy copy = bySource.getIfPresent(objects);
    if (copy == null) {
      copy = PackedCopy.pack(objects);
      bySource.put(objects, copy);
    }
    add(copy);
    return copy;
  }

  void add(PackedCopy copy) {
    byDigest.put(copy.digest(), copy);
  }

  Optional<PackedCopy> get(ByteString digest) {
    return Optional.ofNullable(byDigest.getIfPresent(digest));
  }
}
