package org.currantslip.core.allowance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.limits.Permit;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.limits.SlotRequest;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.route.ServiceTerms;
import org.currantslip.core.routing.CallResult;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.core.routing.RequestTracker;
import org.currantslip.schema.AllowanceReport;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.RestrictionReport;

/** Nodes that send more to the endpoints of a brittle service than these have room for. */
final class BrittleFleet {
  static final long CONTACT_MS = 4_000;
  private static final String SERVICE = "plain";
  private static final int SLOTS = 6;
  private static final int QUEUE = 4;
  private static final double WORK_MS = 61;
  private static final long OBJECTIVE_MS = 310;
  private static final long TICK_MS = 25;

  private record Event(long atMs, long order, Runnable action) {}

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final Random random;
  private final double brittlePerS;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Map<String, Endpoint> endpoints = new TreeMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final Set<String> lost = new HashSet<>();
  private long eventCount;
  private long firstBrittleMs = Long.MAX_VALUE;

  private BrittleFleet(
      int nodeCount, int endpointCount, double brittlePerS, double load, long seed) {
    random = new Random(seed);
    this.brittlePerS = brittlePerS;
    IntStream.range(0, endpointCount).forEach(i -> endpoints.put("e" + i, new Endpoint()));
    IntStream.range(0, nodeCount).forEach(i -> addNode("n%03d".formatted(i)));
    scheduleArrivals(load * endpointCount * SLOTS / WORK_MS);
  }

  static BrittleFleet of(
      int nodeCount, int endpointCount, double brittlePerS, double load, long seed) {
    return new BrittleFleet(nodeCount, endpointCount, brittlePerS, load, seed);
  }

  private Node node(String name) {
    return Objects.requireNonNull(nodes.get(name));
  }

  private Endpoint endpoint(String id) {
    return Objects.requireNonNull(endpoints.get(id));
  }

  private void addNode(String name) {
    nodes.put(name, new Node(FakeMembership.node(name, 1, "domain")));
    at(random.nextInt((int) TICK_MS), () -> tick(name));
  }

  private void at(long inMs, Runnable action) {
    events.add(new Event(clock.nowMs() + Math.max(0, inMs), eventCount++, action));
  }

  void run(long ms) {
    long untilMs = clock.nowMs() + ms;
    while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
      Event event = events.remove();
      clock.advance(event.atMs() - clock.nowMs());
      event.action().run();
    }
    clock.advance(untilMs - clock.nowMs());
  }

  void kill(String name) {
    lost.add(name);
  }

  private void tick(String name) {
    if (!lost.contains(name)) {
      node(name).tick();
      at(TICK_MS, () -> tick(name));
    }
  }

  private void scheduleArrivals(double perMs) {
    at(
        Math.round(-Math.log(1 - random.nextDouble()) / perMs),
        () -> {
          List<String> running = nodes.keySet().stream().filter(n -> !lost.contains(n)).toList();
          node(running.get(random.nextInt(running.size()))).onRequest();
          scheduleArrivals(perMs);
        });
  }

  /** Returns the most refusals for lack of room at one endpoint in any second, after contact. */
  int mostRefused() {
    return endpoints.values().stream().mapToInt(Endpoint::mostRefused).max().orElseThrow();
  }

  long busyMs() {
    return endpoints.values().stream().mapToLong(e -> e.busyMs).sum();
  }

  long slotsMs(long ms) {
    return ms * SLOTS * endpoints.size();
  }

  private final class Endpoint {
    private final List<Long> refusedMs = new ArrayList<>();
    private final List<Runnable> queue = new ArrayList<>();
    private int running;
    private long busyMs;

    private int mostRefused() {
      List<Long> after = refusedMs.stream().filter(t -> t >= firstBrittleMs + CONTACT_MS).toList();
      int most = 0;
      for (int i = 0, first = 0; i < after.size(); i++) {
        while (after.get(i) - after.get(first) >= 1_000) {
          first++;
        }
        most = Math.max(most, i - first + 1);
      }
      return most;
    }

    private void receive(Runnable onDone, Runnable onRefused) {
      if (running < SLOTS) {
        begin(onDone);
      } else if (queue.size() < QUEUE) {
        queue.add(onDone);
      } else {
        refusedMs.add(clock.nowMs());
        onRefused.run();
      }
    }

    private void begin(Runnable onDone) {
      running++;
      long workMs = Math.round(WORK_MS * (0.8 + 0.4 * random.nextDouble()));
      at(
          workMs,
          () -> {
            busyMs += workMs;
            running--;
            if (!queue.isEmpty()) {
              begin(queue.remove(0));
            }
            onDone.run();
          });
    }
  }

  private final class Node implements Membership, AllowanceLinks {
    private final NodeRecord self;
    private List<NodeRecord> all = List.of();
    private final FleetPlaces places = FleetPlaces.create(this, clock, 100);
    private final EndpointAllowances allowances =
        EndpointAllowances.create(
            RankedSenders.create(this),
            places,
            AllowanceOptions.none(),
            ServiceTerms::unknown,
            (event, fields) -> {},
            random.nextLong());
    private final ExpectedWaitChooser chooser =
        ExpectedWaitChooser.create(clock, "domain", random.nextLong(), allowances);
    private final SlotQueue queue = SlotQueue.create(clock, chooser::freeSlots, random.nextLong());

    private Node(NodeRecord self) {
      this.self = self;
      allowances.connect(this);
      chooser.onEndpoints(
          endpoints.keySet().stream()
              .map(
                  id ->
                      EndpointRecord.newBuilder()
                          .setId(id)
                          .setService(SERVICE)
                          .setStartedMs(1)
                          .setSlots(SLOTS)
                          .build())
              .toList());
    }

    private void tick() {
      queue.tick();
      allowances.tick(clock.nowMs());
    }

    private void onRequest() {
      long nowMs = clock.nowMs();
      queue
          .admit(
              new SlotRequest(
                  SERVICE, "account", 0, nowMs, nowMs + OBJECTIVE_MS, nowMs + 3_000, List.of()))
          .thenAccept(this::dispatch);
    }

    private void dispatch(Permit permit) {
      EndpointQuery query = EndpointQuery.ofService(SERVICE, "", "", List.of(), Set.of());
      Optional<EndpointRecord> found = chooser.choose(query);
      if (found.isEmpty()) {
        permit.release(0);
        return;
      }
      EndpointRecord endpoint = found.get();
      RequestTracker tracker = chooser.track(endpoint.getId(), query);
      tracker.onStarted(1);
      final long sentMs = clock.nowMs();
      Endpoint receiver = endpoint(endpoint.getId());
      at(
          1 + random.nextInt(2),
          () ->
              receiver.receive(
                  () -> at(1, () -> onResponse(endpoint, tracker, permit, sentMs, false)),
                  () -> at(1, () -> onResponse(endpoint, tracker, permit, sentMs, true))));
    }

    private void onResponse(
        EndpointRecord endpoint,
        RequestTracker tracker,
        Permit permit,
        long sentMs,
        boolean declined) {
      firstBrittleMs = Math.min(firstBrittleMs, clock.nowMs());
      Endpoint e = endpoint(endpoint.getId());
      EndpointNotice notice =
          new EndpointNotice(false, 0, RequestLimit.none(), OptionalDouble.of(brittlePerS));
      chooser.onNotice(endpoint, notice, sentMs);
      chooser.onLoad(
          new EndpointLoad(endpoint.getId(), e.running, e.queue.size(), 0, clock.nowMs()));
      if (declined) {
        tracker.onNoRoom();
      }
      tracker.onFinished(new CallResult(!declined, false, 1, clock.nowMs() - sentMs, declined));
      permit.release(0);
    }

    @Override
    public NodeRecord self() {
      return self;
    }

    @Override
    public String selfName() {
      return self.getId().getName();
    }

    @Override
    public void send(String node, AllowanceReport report) {
      at(
          1 + random.nextInt(2),
          () -> {
            if (!lost.contains(node)) {
              node(node).allowances.onReport(selfName(), report, clock.nowMs());
            }
          });
    }

    @Override
    public void sendToOthers(AllowanceReport report) {
      nodes.keySet().stream().filter(n -> !n.equals(selfName())).forEach(n -> send(n, report));
    }

    @Override
    public void sendToOthers(RestrictionReport report) {}

    @Override
    public int waiting(String service) {
      return queue.queuedCount(service);
    }

    @Override
    public void onRoom() {
      queue.tick();
    }

    @Override
    public List<NodeRecord> live() {
      return nodes.values().stream()
          .map(n -> n.self)
          .filter(n -> !lost.contains(n.getId().getName()))
          .toList();
    }

    @Override
    public List<NodeRecord> known() {
      if (all.size() != nodes.size()) {
        all = nodes.values().stream().map(n -> n.self).toList();
      }
      return all;
    }

    @Override
    public List<NodeRecord> entryNodes() {
      return known();
    }

    @Override
    public Optional<NodeRecord> find(String name) {
      return Optional.ofNullable(nodes.get(name)).map(n -> n.self);
    }

    @Override
    public boolean isGone(NodeId id) {
      return false;
    }
  }
}
