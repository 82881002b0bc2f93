package org.currantslip.core.ledger;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;

/** Several ledgers on one fake store, with a simple request engine that counts executions. */
final class LedgerCluster {
  static final long START_MS = 1_800_000_000_000L;
  static final String ACCOUNT = "survey";
  private static final long TICK_MS = 10;

  final ManualClock clock = ManualClock.startingAt(START_MS);
  final FakeEvents events = FakeEvents.on(clock);
  final FakeObjectStore store = FakeObjectStore.on(events);
  final FakePeerNetwork network = FakePeerNetwork.create(events);
  final Map<String, Node> nodes = new TreeMap<>();
  final List<Attempt> attempts = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  private final Map<String, List<Attempt>> runs = new HashMap<>();
  private long nextRequest = 1;
  private long nextIncarnation = 1;

  /** Settings of nodes that are started afterwards. */
  LedgerOptions options;

  /** Time from storing the intent to the dispatch. */
  long dispatchMs = 2;

  /** Time from the dispatch to the answer. */
  long runMs = 30;

  private LedgerCluster(LedgerOptions options) {
    this.options = options;
  }

  static LedgerCluster of(int size) {
    return of(size, LedgerOptions.defaults());
  }

  static LedgerCluster of(int size, LedgerOptions options) {
    LedgerCluster cluster = new LedgerCluster(options);
    for (int i = 0; i < size; i++) {
      cluster.start("n" + i);
    }
    return cluster;
  }

  final class Node {
    final NodeRecord record;
    final FakeObjectStore.Link link = store.newLink();
    final FakeMembership membership;
    final StoreLedger ledger;
    boolean frozen;
    boolean dead;

    private Node(NodeRecord record) {
      this.record = record;
      membership = FakeMembership.of(record);
      nodes.values().forEach(n -> membership.add(n.record));
      nodes.values().forEach(n -> n.membership.add(record));
      ledger =
          StoreLedger.create(
              record.getId(),
              link,
              network.join(name(), this::onFrame),
              membership,
              clock,
              options);
    }

    String name() {
      return record.getId().getName();
    }

    private CompletableFuture<PeerFrame> onFrame(String from, PeerFrame frame) {
      return switch (frame.getBodyCase()) {
        case LEDGER_APPEND ->
            ledger
                .onAppend(frame.getLedgerAppend())
                .thenApply(r -> PeerFrame.newBuilder().setLedgerAppendReply(r).build());
        case INTENT_QUERY ->
            CompletableFuture.completedFuture(
                PeerFrame.newBuilder()
                    .setIntentAnswer(ledger.answerIntentQuery(frame.getIntentQuery()))
                    .build());
        default -> new CompletableFuture<>();
      };
    }

    /** Runs an action after a delay; deferred while the node is frozen, dropped if it is dead. */
    private void runWhenThawed(long delayMs, Runnable action) {
      events.after(
          delayMs,
          () -> {
            if (frozen) {
              runWhenThawed(1, action);
            } else if (!dead) {
              action.run();
            }
          });
    }
  }

  /** One attempt by a caller to execute a request with a key. */
  final class Attempt {
    final Node node;
    final LedgerKey key;
    final ByteString body;
    final String requestId = "r" + nextRequest++;
    final int index = attempts.size();
    final boolean first;
    boolean dispatched;
    @Nullable RefusalException refusal;
    @Nullable LedgerOutcome answer;
    boolean replayed;
    boolean ended;

    /** Whether this attempt got ran=no, which covers it and all earlier attempts. */
    boolean gotNotRun;

    private Attempt(Node node, LedgerKey key, String body, boolean first) {
      this.node = node;
      this.key = key;
      this.body = ByteString.copyFromUtf8(body);
      this.first = first;
    }

    private void start() {
      node.ledger.begin(key, body, requestId, first).whenComplete(this::onDecision);
    }

    private void onDecision(@Nullable LedgerDecision decision, @Nullable Throwable failure) {
      if (decision instanceof LedgerDecision.Run) {
        node.runWhenThawed(dispatchMs, this::dispatch);
      } else if (decision instanceof LedgerDecision.Replay replay) {
        replayed = true;
        end(replay.outcome());
      } else if (failure instanceof RefusalException r) {
        refuse(r.ran());
        refusal = r;
      }
    }

    private void dispatch() {
      if (node.ledger.markDispatched(key, requestId)) {
        dispatched = true;
        countRun(this);
        node.runWhenThawed(runMs, () -> finish(LedgerResult.ANSWERED));
      } else {
        finish(LedgerResult.NOT_DISPATCHED);
        refuse(first ? Ran.NO : Ran.UNKNOWN);
      }
    }

    private void finish(LedgerResult result) {
      LedgerOutcome outcome =
          LedgerOutcome.newBuilder()
              .setAccount(key.account())
              .setKey(key.key())
              .setRequestId(requestId)
              .setResult(result)
              .setHttpStatus(200)
              .setContentType("text/plain")
              .setBody(ByteString.copyFromUtf8("answer to " + requestId))
              .build();
      CompletableFuture<Void> stored = node.ledger.finish(key, outcome);
      if (result == LedgerResult.ANSWERED) {
        stored.whenComplete((done, failure) -> end(outcome));
      }
    }

    private void end(LedgerOutcome outcome) {
      ended = true;
      answer = outcome;
    }

    private void refuse(Ran ran) {
      ended = true;
      if (ran == Ran.NO) {
        recordNotRun(this);
      }
    }
  }

  Node start(String name) {
    Node old = nodes.remove(name);
    if (old != null) {
      stop(old);
    }
    Node node = new Node(FakeMembership.node(name, nextIncarnation++, "fd-" + name));
    nodes.put(name, node);
    return node;
  }

  private static void stop(Node node) {
    node.dead = true;
    node.link.kill();
  }

  void kill(String name) {
    Node node = node(name);
    stop(node);
    network.remove(name);
    nodes.remove(name);
  }

  /** Makes every other node treat this node as gone. */
  void declareGone(Node gone) {
    nodes.values().stream()
        .filter(n -> n != gone)
        .forEach(n -> n.membership.declareGone(gone.record.getId()));
  }

  void freeze(String name) {
    node(name).frozen = true;
    node(name).link.freeze();
    network.freeze(name);
  }

  void thaw(String name) {
    node(name).frozen = false;
    network.thaw(name);
    node(name).link.thaw();
  }

  Node node(String name) {
    Node node = nodes.get(name);
    if (node == null) {
      throw new IllegalArgumentException(name);
    }
    return node;
  }

  static LedgerKey key(String opaque) {
    return new LedgerKey(ACCOUNT, START_MS + "-" + opaque, START_MS);
  }

  /** Returns a key that is issued now and maps to this slot. */
  LedgerKey keyIn(int slot, String opaque) {
    return Stream.iterate(0, i -> i + 1)
        .map(i -> new LedgerKey(ACCOUNT, clock.nowMs() + "-" + opaque + "." + i, clock.nowMs()))
        .filter(k -> LedgerNames.slotOf(intentOf(k)) == slot)
        .findFirst()
        .orElseThrow();
  }

  private static LedgerIntent intentOf(LedgerKey key) {
    return LedgerIntent.newBuilder().setAccount(key.account()).setKey(key.key()).build();
  }

  /** Makes a node suspect all other nodes, so that it writes every slot itself. */
  void isolate(String name) {
    nodes.keySet().stream().filter(n -> !n.equals(name)).forEach(node(name).membership::suspect);
    run(500);
  }

  Attempt send(String node, String opaque, boolean first) {
    return send(node, key(opaque), "body", first);
  }

  Attempt send(String node, LedgerKey key, String body, boolean first) {
    Attempt attempt = new Attempt(node(node), key, body, first);
    attempts.add(attempt);
    attempt.start();
    return attempt;
  }

  void run(long ms) {
    for (long i = 0; i < ms; i++) {
      events.advance(1);
      if (clock.nowMs() % TICK_MS == 0) {
        List.copyOf(nodes.values()).stream().filter(n -> !n.frozen).forEach(n -> n.ledger.tick());
      }
    }
  }

  int runCount(LedgerKey key) {
    return runs.getOrDefault(key.key(), List.of()).size();
  }

  private void countRun(Attempt attempt) {
    List<Attempt> all = runs.computeIfAbsent(attempt.key.key(), k -> new ArrayList<>());
    all.add(attempt);
    if (all.size() > 1) {
      violations.add(attempt.key.key() + " ran twice: " + attempt.requestId);
    }
    attempts.stream()
        .filter(a -> a.key.equals(attempt.key) && a.gotNotRun)
        .filter(a -> attempt.index <= a.index)
        .forEach(
            a -> violations.add(a.requestId + " got ran=no, then " + attempt.requestId + " ran"));
  }

  private void recordNotRun(Attempt attempt) {
    attempt.gotNotRun = true;
    boolean ran =
        runs.getOrDefault(attempt.key.key(), List.of()).stream()
            .anyMatch(r -> r.index <= attempt.index);
    if (ran) {
      violations.add(attempt.requestId + " got ran=no for a key that ran");
    }
  }

  /** Records a violation for each answer that does not come from the execution of its key. */
  void checkReplays() {
    for (Attempt a : attempts) {
      List<Attempt> ran = runs.getOrDefault(a.key.key(), List.of());
      LedgerOutcome answer = a.answer;
      if (answer != null && !ran.isEmpty() && !answer.getRequestId().equals(ran.get(0).requestId)) {
        violations.add(a.requestId + " got the answer of another request");
      }
    }
  }
}
