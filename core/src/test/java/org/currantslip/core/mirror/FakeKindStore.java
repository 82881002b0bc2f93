package org.currantslip.core.mirror;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StorePosition;

/** A fake store of one kind of object, shared by many nodes; counts list and watch calls. */
final class FakeKindStore {
  private static final long LATENCY_MS = 4;

  private record LogEntry(KindChanges.Change change, long revision) {}

  private record Watch(Link link, StorePosition after, CompletableFuture<KindChanges> answer) {}

  private final FakeEvents events;
  private final TreeMap<String, KindObject> objects = new TreeMap<>();
  private final List<LogEntry> log = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long era;
  private long revision = 1;
  private int calls;

  private FakeKindStore(FakeEvents events) {
    this.events = events;
  }

  static FakeKindStore on(FakeEvents events) {
    return new FakeKindStore(events);
  }

  private StorePosition position() {
    return new StorePosition(era, revision);
  }

  /** Returns the number of calls made by all nodes. */
  int calls() {
    return calls;
  }

  void put(String name) {
    put(name, ByteString.copyFromUtf8(name));
  }

  /** Writes an object and returns its revision. */
  long put(String name, ByteString spec) {
    revision++;
    KindObject object = new KindObject(name, revision, spec, ByteString.EMPTY);
    objects.put(name, object);
    append(new KindChanges.Change(object, false));
    return revision;
  }

  void remove(String name) {
    revision++;
    append(new KindChanges.Change(objects.remove(name), true));
  }

  private void append(KindChanges.Change change) {
    log.add(new LogEntry(change, revision));
    List<Watch> due = List.copyOf(watches);
    watches.clear();
    due.forEach(this::answer);
  }

  private void answer(Watch watch) {
    List<KindChanges.Change> since =
        log.stream()
            .filter(e -> e.revision() > watch.after().revision())
            .map(LogEntry::change)
            .toList();
    KindChanges changes = new KindChanges(since, position(), false);
    long transferMs = watch.link().transferMs(since.stream().map(KindChanges.Change::object));
    events.after(transferMs, () -> watch.link().complete(watch.answer(), changes));
  }

  Link newLink() {
    return new Link();
  }

  /** The connection of one node to the store. */
  final class Link implements KindStore {
    private boolean cut;
    private boolean refused;
    private long bytesPerMs = Long.MAX_VALUE;
    private long receivedUntilMs;

    /** Sets the rate at which the node receives responses, which follow each other. */
    void setBytesPerMs(long rate) {
      bytesPerMs = rate;
    }

    /** Returns the time until a response has arrived that is sent now. */
    private long transferMs(Stream<KindObject> content) {
      long bytes = content.mapToLong(o -> o.spec().size()).sum();
      long nowMs = events.clock().nowMs();
      receivedUntilMs = Math.max(nowMs, receivedUntilMs) + bytes / bytesPerMs;
      return receivedUntilMs - nowMs + LATENCY_MS;
    }

    /** Drops replies silently, so that calls hang as on a dead connection. */
    void setCut(boolean cutOff) {
      cut = cutOff;
    }

    /** Fails calls at once, including watches in flight. */
    void setRefused(boolean refuse) {
      refused = refuse;
      if (refuse) {
        List<Watch> pending = watches.stream().filter(w -> w.link() == this).toList();
        watches.removeAll(pending);
        pending.forEach(w -> w.answer().completeExceptionally(refusal()));
      }
    }

    private static StoreException refusal() {
      return StoreException.of(StoreException.Kind.NOT_DONE, "refused");
    }

    private <T> void complete(CompletableFuture<T> call, T value) {
      if (!cut) {
        call.complete(value);
      }
    }

    @Override
    public CompletableFuture<KindPage> listKind(String kind, String startAfter) {
      calls++;
      if (refused) {
        return CompletableFuture.failedFuture(refusal());
      }
      CompletableFuture<KindPage> answer = new CompletableFuture<>();
      KindPage page = new KindPage(List.copyOf(objects.values()), false, position());
      events.after(transferMs(objects.values().stream()), () -> complete(answer, page));
      return answer;
    }

    @Override
    public CompletableFuture<KindChanges> watchKind(String kind, StorePosition after, long waitMs) {
      calls++;
      if (refused) {
        return CompletableFuture.failedFuture(refusal());
      }
      Watch watch = new Watch(this, after, new CompletableFuture<>());
      if (position().isAfter(after)) {
        answer(watch);
      } else {
        watches.add(watch);
        events.after(waitMs, () -> endWait(watch));
      }
      return watch.answer();
    }

    private void endWait(Watch watch) {
      if (watches.remove(watch)) {
        complete(watch.answer(), new KindChanges(List.of(), position(), false));
      }
    }

    @Override
    public CompletableFuture<Long> probe() {
      if (refused) {
        return CompletableFuture.failedFuture(refusal());
      }
      CompletableFuture<Long> answer = new CompletableFuture<>();
      events.after(LATENCY_MS, () -> complete(answer, 0L));
      return answer;
    }

    @Override
    public CompletableFuture<Long> putStatus(
        String kind, String name, ByteString status, long expectedVersion) {
      throw new UnsupportedOperationException();
    }
  }
}
