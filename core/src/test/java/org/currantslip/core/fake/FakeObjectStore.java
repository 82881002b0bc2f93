package org.currantslip.core.fake;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory object store whose calls complete when the test advances the event queue.
 *
 * <p>A call takes effect after half of its latency. Faults can be injected for single calls ({@link
 * #inject}), by a plan ({@link #setFaultPlan}) or for all calls ({@link #setUnavailable}, {@link
 * #setLatencyMs}).
 */
public final class FakeObjectStore implements ObjectStore {
  /** Delay of the effect of a call with {@link StoreFault#LATE_EFFECT}. */
  public static final long LATE_EFFECT_DELAY_MS = 20_000;

  /** Delay of the answer to a call with {@link StoreFault#SLOW}. */
  public static final long SLOW_ANSWER_DELAY_MS = 1_500;

  /** Types of store calls. */
  public enum Call {
    GET,
    CREATE,
    UPDATE,
    DELETE,
    LIST,
    WATCH
  }

  /** Selects the fault of each call. */
  @FunctionalInterface
  public interface FaultPlan {
    /** Returns the fault to apply to this call. */
    StoreFault next(Call call, String name);
  }

  private record Entry(long version, ByteString value) {}

  private record Injected(Call call, String namePart, StoreFault fault) {}

  private final FakeEvents events;
  private final TreeMap<String, Entry> objects = new TreeMap<>();
  private final Deque<Injected> injected = new ArrayDeque<>();
  private FaultPlan plan = (call, name) -> StoreFault.NONE;
  private boolean out;
  private long latencyMs = 5;
  private long writes;
  private long reads;

  private FakeObjectStore(FakeEvents events) {
    this.events = events;
  }

  /** Returns an empty store whose calls take 5 ms. */
  public static FakeObjectStore on(FakeEvents events) {
    return new FakeObjectStore(events);
  }

  /** Returns a plan that selects a random {@link StoreFault} with probability {@code chance}. */
  public static FaultPlan randomFaults(long seed, double chance) {
    Random random = new Random(seed);
    StoreFault[] all = StoreFault.values();
    return (call, name) ->
        random.nextDouble() < chance ? all[random.nextInt(all.length)] : StoreFault.NONE;
  }

  /** Returns a link to this store for one node; the link can be cut, frozen and killed. */
  public Link newLink() {
    return new Link(this);
  }

  /** Applies {@code fault} to the next such call whose name contains {@code namePart}. */
  public void inject(Call call, String namePart, StoreFault fault) {
    injected.add(new Injected(call, namePart, fault));
  }

  /** Sets the fault plan for calls without an injected fault. */
  public void setFaultPlan(FaultPlan next) {
    plan = next;
  }

  /** Sets whether the store is unavailable, so that every call fails without effect. */
  public void setUnavailable(boolean unavailable) {
    out = unavailable;
  }

  /** Sets the latency of a call. */
  public void setLatencyMs(long ms) {
    latencyMs = ms;
  }

  /** Returns the number of create, update and delete calls so far. */
  public long writes() {
    return writes;
  }

  /** Returns the number of get, list and watch calls so far. */
  public long reads() {
    return reads;
  }

  /** Returns the objects whose names start with {@code prefix}, bypassing faults and latency. */
  public List<StoredObject> listDirectly(String prefix) {
    return page(prefix, "", Integer.MAX_VALUE);
  }

  /** Stores an object, bypassing faults and latency. */
  public void putDirectly(String name, ByteString value) {
    Entry old = objects.get(name);
    objects.put(name, new Entry(old == null ? 1 : old.version() + 1, value));
  }

  /** Deletes an object, bypassing faults and latency. */
  public void deleteDirectly(String name) {
    objects.remove(name);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> get(String name) {
    reads++;
    return call(Call.GET, name, () -> find(name));
  }

  @Override
  public CompletableFuture<Long> create(String name, ByteString value) {
    writes++;
    return call(
        Call.CREATE,
        name,
        () -> {
          if (objects.containsKey(name)) {
            throw StoreException.of(Kind.CONFLICT, name);
          }
          return put(name, 1, value);
        });
  }

  @Override
  public CompletableFuture<Long> update(String name, ByteString value, long expectedVersion) {
    writes++;
    return call(
        Call.UPDATE,
        name,
        () -> {
          requireVersion(name, expectedVersion);
          return put(name, expectedVersion + 1, value);
        });
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    writes++;
    return this.<@Nullable Void>call(
        Call.DELETE,
        name,
        () -> {
          requireVersion(name, expectedVersion);
          objects.remove(name);
          return null;
        });
  }

  @Override
  public CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit) {
    reads++;
    return call(Call.LIST, prefix, () -> page(prefix, startAfter, limit));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, long waitMs) {
    reads++;
    CompletableFuture<Optional<StoredObject>> answer = new CompletableFuture<>();
    pollForChange(name, afterVersion, events.clock().nowMs() + waitMs, answer);
    return answer;
  }

  private void pollForChange(
      String name,
      long afterVersion,
      long untilMs,
      CompletableFuture<Optional<StoredObject>> answer) {
    Optional<StoredObject> found = find(name).filter(o -> o.version() > afterVersion);
    if (out) {
      answer.completeExceptionally(StoreException.of(Kind.NOT_DONE, "store is unavailable"));
    } else if (found.isPresent() || events.clock().nowMs() >= untilMs) {
      answer.complete(found);
    } else {
      events.after(latencyMs, () -> pollForChange(name, afterVersion, untilMs, answer));
    }
  }

  private Optional<StoredObject> find(String name) {
    Entry e = objects.get(name);
    return e == null
        ? Optional.empty()
        : Optional.of(new StoredObject(name, e.version(), e.value()));
  }

  private List<StoredObject> page(String prefix, String startAfter, int limit) {
    List<StoredObject> found = new ArrayList<>();
    String from = startAfter.compareTo(prefix) < 0 ? prefix : startAfter;
    for (var e : objects.tailMap(from, !from.equals(startAfter)).entrySet()) {
      if (!e.getKey().startsWith(prefix) || found.size() >= limit) {
        break;
      }
      found.add(new StoredObject(e.getKey(), e.getValue().version(), e.getValue().value()));
    }
    return found;
  }

  private long put(String name, long version, ByteString value) {
    if (value.size() > MAX_VALUE_BYTES) {
      throw StoreException.of(Kind.NOT_DONE, "value too large, bytes: " + value.size());
    }
    objects.put(name, new Entry(version, value));
    return version;
  }

  private void requireVersion(String name, long expected) {
    Entry e = objects.get(name);
    if (e == null || e.version() != expected) {
      throw StoreException.of(Kind.CONFLICT, name);
    }
  }

  private StoreFault fault(Call call, String name) {
    if (out) {
      return StoreFault.NOT_DONE;
    }
    for (Injected i : injected) {
      if (i.call() == call && name.contains(i.namePart())) {
        injected.remove(i);
        return i.fault();
      }
    }
    return plan.next(call, name);
  }

  private <T extends @Nullable Object> CompletableFuture<T> call(
      Call call, String name, Supplier<T> effect) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    StoreFault fault = fault(call, name);
    long halfMs = latencyMs / 2;
    switch (fault) {
      case NONE -> events.after(halfMs, () -> run(effect, answer, latencyMs - halfMs));
      case SLOW -> events.after(halfMs, () -> run(effect, answer, SLOW_ANSWER_DELAY_MS));
      case NOT_DONE -> fail(answer, Kind.NOT_DONE);
      case CONFLICT ->
          fail(answer, call == Call.GET || call == Call.LIST ? Kind.NOT_DONE : Kind.CONFLICT);
      case LOST_CALL -> fail(answer, Kind.OUTCOME_UNKNOWN);
      case LOST_ANSWER -> {
        events.after(halfMs, () -> run(effect, new CompletableFuture<>(), 0));
        fail(answer, Kind.OUTCOME_UNKNOWN);
      }
      case LATE_EFFECT -> {
        events.after(LATE_EFFECT_DELAY_MS, () -> run(effect, new CompletableFuture<>(), 0));
        fail(answer, Kind.OUTCOME_UNKNOWN);
      }
      default -> {
        // SILENT: the call has no effect and is never answered.
      }
    }
    return answer;
  }

  private void fail(CompletableFuture<?> answer, Kind kind) {
    events.after(
        latencyMs, () -> answer.completeExceptionally(StoreException.of(kind, "injected fault")));
  }

  private <T extends @Nullable Object> void run(
      Supplier<T> effect, CompletableFuture<T> answer, long answerDelayMs) {
    try {
      T result = effect.get();
      events.after(answerDelayMs, () -> answer.complete(result));
    } catch (StoreException e) {
      events.after(answerDelayMs, () -> answer.completeExceptionally(e));
    }
  }

  /** The connection of one node to the store. */
  public static final class Link implements ObjectStore {
    private final FakeObjectStore store;
    private final List<Runnable> withheld = new ArrayList<>();
    private boolean cut;
    private boolean frozen;
    private boolean dead;

    private Link(FakeObjectStore store) {
      this.store = store;
    }

    /** Sets whether the link is cut, so that calls of this node fail without effect. */
    public void setCut(boolean disconnected) {
      cut = disconnected;
    }

    /** Withholds answers to this node until {@link #thaw}. */
    public void freeze() {
      frozen = true;
    }

    /** Delivers the withheld answers. */
    public void thaw() {
      frozen = false;
      withheld.forEach(r -> store.events.after(0, r));
      withheld.clear();
    }

    /** Drops all further answers to this node; calls in flight still take effect. */
    public void kill() {
      dead = true;
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
      return pass(() -> store.get(name));
    }

    @Override
    public CompletableFuture<Long> create(String name, ByteString value) {
      return pass(() -> store.create(name, value));
    }

    @Override
    public CompletableFuture<Long> update(String name, ByteString value, long expectedVersion) {
      return pass(() -> store.update(name, value, expectedVersion));
    }

    @Override
    public CompletableFuture<Void> delete(String name, long expectedVersion) {
      return pass(() -> store.delete(name, expectedVersion));
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit) {
      return pass(() -> store.list(prefix, startAfter, limit));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
        String name, long afterVersion, long waitMs) {
      return pass(() -> store.watch(name, afterVersion, waitMs));
    }

    private <T extends @Nullable Object> CompletableFuture<T> pass(
        Supplier<CompletableFuture<T>> call) {
      CompletableFuture<T> answer = new CompletableFuture<>();
      if (dead) {
        return answer;
      }
      if (cut) {
        store.fail(answer, Kind.NOT_DONE);
        return answer;
      }
      call.get().whenComplete((value, failure) -> arrive(() -> finish(answer, value, failure)));
      return answer;
    }

    private void arrive(Runnable action) {
      if (frozen) {
        withheld.add(() -> arrive(action));
      } else if (!dead) {
        action.run();
      }
    }

    private static <T extends @Nullable Object> void finish(
        CompletableFuture<T> answer, T value, @Nullable Throwable failure) {
      if (failure != null) {
        answer.completeExceptionally(failure);
      } else {
        answer.complete(value);
      }
    }
  }
}
