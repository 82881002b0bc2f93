package org.currantslip.core.mirror;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.cache.RemovalNotification;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.PeerException;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.CopyPart;
import org.currantslip.schema.CopyPartRequest;
import org.currantslip.schema.CopyReference;
import org.currantslip.schema.MirrorObjects;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;

/**
 * Fetches packed copies from peers, part after part.
 *
 * <p>A copy is fetched once, however many callers wait for it, and the parts that have arrived are
 * kept: when a source fails or falls silent, the fetch goes on at another one where it stopped.
 */
final class CopyFetcher {
  /** A part is no longer expected after this time; long enough for a link that is full. */
  private static final long PART_TIMEOUT_MS = 1_500;

  /** Time after which a second source is asked for the same part. */
  private static final long SLOW_PART_MS = 300;

  /** Time after which a source that sends to others is asked again. */
  private static final long BUSY_RETRY_MS = 100;

  /** Limits the memory of copies that are half received. */
  private static final int MAX_FETCHES = 4;

  private static final int MAX_SOURCES = 16;
  private static final int MAX_ASKED_SOURCES = 2;

  private final HeldCopies copies;
  private final PeerNetwork peers;
  private final Clock clock;
  private final Cache<ByteString, Fetch> fetches =
      CacheBuilder.newBuilder()
          .maximumSize(MAX_FETCHES)
          .concurrencyLevel(1)
          .removalListener(CopyFetcher::onRemoval)
          .build();

  private CopyFetcher(HeldCopies copies, PeerNetwork peers, Clock clock) {
    this.copies = copies;
    this.peers = peers;
    this.clock = clock;
  }

  static CopyFetcher create(HeldCopies copies, PeerNetwork peers, Clock clock) {
    return new CopyFetcher(copies, peers, clock);
  }

  /**
   * Returns the objects of a copy that a peer holds. The future fails if no known source sends it;
   * a later call goes on with the parts that have arrived.
   */
  CompletableFuture<MirrorObjects> fetch(CopyReference reference, String holder) {
    if (!PackedCopy.isAcceptable(reference)) {
      return failed("copy of " + reference.getUnpackedBytes() + " bytes is too large");
    }
    Optional<PackedCopy> held = copies.get(reference.getDigest());
    if (held.isPresent()) {
      return unpack(held.get());
    }
    Fetch fetch = fetches.getIfPresent(reference.getDigest());
    if (fetch == null) {
      fetch = new Fetch(reference);
      fetches.put(reference.getDigest(), fetch);
    }
    return fetch.join(holder);
  }

  /** Asks again the sources that were busy, and further sources for parts that are late. */
  void tick() {
    List.copyOf(fetches.asMap().values()).forEach(Fetch::tick);
  }

  private static void onRemoval(RemovalNotification<ByteString, Fetch> removal) {
    if (removal.wasEvicted() && removal.getValue() != null) {
      removal
          .getValue()
          .result
          .completeExceptionally(PeerException.of("too many copies are fetched"));
    }
  }

  private static CompletableFuture<MirrorObjects> unpack(PackedCopy copy) {
    try {
      return CompletableFuture.completedFuture(copy.unpack());
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static CompletableFuture<MirrorObjects> failed(String reason) {
    return CompletableFuture.failedFuture(PeerException.of(reason));
  }

  /** The fetch of one copy, which goes on while parts arrive from any source. */
  private final class Fetch {
    private final CopyReference reference;
    private final Deque<String> sources = new ArrayDeque<>();
    private final List<String> asked = new ArrayList<>();
    private ByteString received = ByteString.EMPTY;
    private CompletableFuture<MirrorObjects> result = new CompletableFuture<>();
    private long nextRequestMs;

    private Fetch(CopyReference reference) {
      this.reference = reference;
    }

    private CompletableFuture<MirrorObjects> join(String holder) {
      if (result.isDone()) {
        result = new CompletableFuture<>();
      }
      CompletableFuture<MirrorObjects> joined = result;
      if (isNewSource(holder)) {
        sources.addLast(holder);
      }
      if (asked.isEmpty()) {
        requestNext();
      }
      return joined;
    }

    private boolean isNewSource(String node) {
      return sources.size() < MAX_SOURCES && !sources.contains(node) && !asked.contains(node);
    }

    private void tick() {
      if (!result.isDone() && clock.nowMs() >= nextRequestMs && asked.size() < MAX_ASKED_SOURCES) {
        requestNext();
      }
    }

    private void requestNext() {
      String source = sources.poll();
      if (source == null) {
        if (asked.isEmpty()) {
          result.completeExceptionally(PeerException.of("no peer sends the copy"));
        }
        return;
      }
      asked.add(source);
      nextRequestMs = clock.nowMs() + SLOW_PART_MS;
      CopyPartRequest request =
          CopyPartRequest.newBuilder()
              .setDigest(reference.getDigest())
              .setOffset(received.size())
              .build();
      CompletableFuture<Void> unused =
          peers
              .request(
                  source,
                  PeerFrame.newBuilder().setCopyPartRequest(request).build(),
                  PART_TIMEOUT_MS)
              .handle(
                  (reply, failure) -> {
                    asked.remove(source);
                    onReply(source, failure == null ? reply.getCopyPart() : null);
                    return null;
                  });
    }

    private void onReply(String source, @Nullable CopyPart part) {
      if (result.isDone()) {
        return;
      }
      if (part != null && part.getOutcome() == CopyPart.Outcome.BUSY) {
        List<String> others = part.getHolderList().stream().filter(this::isNewSource).toList();
        others.forEach(sources::addFirst);
        sources.addLast(source);
        if (others.isEmpty()) {
          nextRequestMs = clock.nowMs() + BUSY_RETRY_MS;
          return;
        }
      }
      boolean advanced = part != null && append(part);
      if (advanced) {
        sources.addFirst(source);
      }
      if (received.size() >= reference.getPackedBytes()) {
        complete();
      } else if (advanced || asked.isEmpty()) {
        // A source that is late does not hold up the one that sends.
        requestNext();
      }
    }

    /** Returns whether the part is the next one; another source may have sent it before. */
    private boolean append(CopyPart part) {
      boolean isNext =
          !part.getData().isEmpty()
              && part.getOffset() == received.size()
              && received.size() + part.getData().size() <= reference.getPackedBytes();
      if (isNext) {
        received = received.concat(part.getData());
      }
      return isNext;
    }

    private void complete() {
      fetches.invalidate(reference.getDigest());
      PackedCopy copy = PackedCopy.of(received, reference.getUnpackedBytes());
      if (!copy.digest().equals(reference.getDigest())) {
        result.completeExceptionally(PeerException.of("the parts are not those of the copy"));
        return;
      }
      copies.add(copy);
      unpack(copy)
          .whenComplete(
              (objects, failure) -> {
                if (failure == null) {
                  result.complete(objects);
                } else {
                  result.completeExceptionally(failure);
                }
              });
    }
  }
}
