package org.currantslip.core.mirror;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.CopyPart;
import org.currantslip.schema.CopyPartRequest;

/**
 * Sends held copies to peers in parts.
 *
 * <p>A node sends to a few peers at a time and names to the others those that have received the
 * whole copy, so that the time for a copy to reach all nodes grows with the logarithm of their
 * number and not with the size of a link's queue.
 */
final class CopySender {
  static final int PART_BYTES = 16 << 10;
  private static final int MAX_RECEIVERS = 8;

  /** Time without a request after which a receiver gives its place to another node. */
  private static final long RECEIVER_IDLE_MS = 500;

  private static final int MAX_HOLDERS = 64;
  private static final int MAX_NAMED_HOLDERS = 2;
  private static final int MAX_COPIES_WITH_HOLDERS = 16;

  private final HeldCopies copies;
  private final Clock clock;
  private final Map<String, Long> lastRequestMs = new HashMap<>();
  private final Cache<ByteString, List<String>> holders =
      CacheBuilder.newBuilder().maximumSize(MAX_COPIES_WITH_HOLDERS).concurrencyLevel(1).build();
  private int nextHolder;

  private CopySender(HeldCopies copies, Clock clock) {
    this.copies = copies;
    this.clock = clock;
  }

  static CopySender create(HeldCopies copies, Clock clock) {
    return new CopySender(copies, clock);
  }

  /** Returns the requested part, or why it is not sent. */
  CopyPart answer(String receiver, CopyPartRequest request) {
    return copies
        .get(request.getDigest())
        .filter(copy -> request.getOffset() >= 0 && request.getOffset() < copy.packed().size())
        .map(copy -> admit(receiver) ? part(receiver, copy, request.getOffset()) : busy(copy))
        .orElseGet(() -> CopyPart.newBuilder().setOutcome(CopyPart.Outcome.UNKNOWN).build());
  }

  private boolean admit(String receiver) {
    long nowMs = clock.nowMs();
    lastRequestMs.values().removeIf(ms -> nowMs - ms >= RECEIVER_IDLE_MS);
    boolean admitted = lastRequestMs.containsKey(receiver) || lastRequestMs.size() < MAX_RECEIVERS;
    if (admitted) {
      lastRequestMs.put(receiver, nowMs);
    }
    return admitted;
  }

  private CopyPart part(String receiver, PackedCopy copy, int offset) {
    int end = Math.min(copy.packed().size(), offset + PART_BYTES);
    if (end == copy.packed().size()) {
      lastRequestMs.remove(receiver);
      addHolder(copy.digest(), receiver);
    }
    return CopyPart.newBuilder()
        .setOffset(offset)
        .setData(copy.packed().substring(offset, end))
        .build();
  }

  private void addHolder(ByteString digest, String node) {
    List<String> known = holders.getIfPresent(digest);
    if (known == null) {
      known = new ArrayList<>();
      holders.put(digest, known);
    }
    if (known.size() < MAX_HOLDERS && !known.contains(node)) {
      known.add(node);
    }
  }

  /** Names the holders in turn, so that the waiting nodes spread over them. */
  private CopyPart busy(PackedCopy copy) {
    CopyPart.Builder busy = CopyPart.newBuilder().setOutcome(CopyPart.Outcome.BUSY);
    List<String> known = holders.getIfPresent(copy.digest());
    for (int i = 0; known != null && i < Math.min(MAX_NAMED_HOLDERS, known.size()); i++) {
      busy.addHolder(known.get(Math.floorMod(nextHolder++, known.size())));
    }
    return busy.build();
  }
}
