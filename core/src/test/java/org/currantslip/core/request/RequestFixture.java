package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.core.limits.AdmissionControl;
import org.currantslip.core.limits.AdmissionQuery;
import org.currantslip.core.limits.Permit;
import org.currantslip.core.rollout.VersionChoice;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.core.rollout.VersionQuery;
import org.currantslip.core.routing.CallResult;
import org.currantslip.core.routing.EndpointChooser;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.core.session.SessionBinding;
import org.currantslip.core.session.SessionBindings;
import org.currantslip.core.session.SessionTokens;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.DecisionRecord;
import org.currantslip.schema.DemandReport;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.EvidenceReport;
import org.currantslip.schema.SessionAnswer;
import org.currantslip.schema.SessionQuery;
import org.jspecify.annotations.Nullable;

/** A request engine with simple policies and fake dependencies that tests control. */
final class RequestFixture {
  static final long START_MS = 1_000_000;
  static final long FIRST_BYTE_TIMEOUT_MS = 500;
  static final long IDLE_TIMEOUT_MS = 200;
  static final long DEADLINE_MS = 5_000;

  final ManualClock clock = ManualClock.startingAt(START_MS);
  final FakeEndpointClient calls = new FakeEndpointClient();
  final FakeLedger ledger = new FakeLedger();
  final FakeUsageSpool usage = new FakeUsageSpool();
  final RecordingSink sink = new RecordingSink();
  final List<DecisionRecord> decisions = new ArrayList<>();
  final List<RequestOutcome> outcomes = new ArrayList<>();
  final List<String> finishedVersions = new ArrayList<>();
  boolean fresh = true;
  int retriesLeft = 10;
  int outstandingPermits;
  CompletableFuture<Permit> admission =
      CompletableFuture.completedFuture(used -> outstandingPermits--);
  ConfigView config = new ConfigView(7, rules());
  String homeVersion = "";
  final RequestEngine engine = RequestEngine.create(ports(), EngineOptions.of(500, 200));

  private static Rule.Origin line(int n) {
    return new Rule.Origin(n, "line " + n, "operator");
  }

  static RuleSet rules() {
    return RuleSet.of(
        List.of(
            new Rule.AllowModel(line(1), "vestry", Rule.ANY, Rule.ANY, Rule.ANY),
            new Rule.AllowService(line(2), "vestry", "ledger"),
            new Rule.AtMostOnce(line(3), Rule.ANY, "ledger", "POST", "/bookings"),
            new Rule.Tier(line(4), Rule.ANY, "quote", "small", 1),
            new Rule.Tier(line(5), Rule.ANY, "quote", "large", 2),
            new Rule.Serve(line(6), "small", "v1"),
            new Rule.Serve(line(7), "large", "v1"),
            new Rule.Price(line(8), "small", Rule.ANY, 100, 200)));
  }

  RequestPorts ports() {
    return new RequestPorts(
        clock,
        "n1",
        new ConfigSource() {
          @Override
          public ConfigView current() {
            return config;
          }

          @Override
          public boolean isFresh() {
            return fresh;
          }
        },
        new FakeAdmission(),
        ledger,
        usage,
        new UnsignedSessions(),
        new FixedHome(),
        new ServedVersions(),
        new FirstEndpointChooser(),
        new TwoTiers(),
        calls,
        decisions::add,
        outcomes::add);
  }

  RequestHandle send(RouterRequest r) {
    return engine.start(r, sink);
  }

  /** Advances the clock in steps of 10 ms and ticks the engine after each step. */
  void advance(long byMs) {
    for (long t = 0; t < byMs; t += 10) {
      clock.advance(10);
      engine.tick();
    }
  }

  RouterRequest chat(String model, boolean stream) {
    return request(model, "", "/v1/chat/completions", stream, null, false);
  }

  RouterRequest booking(boolean firstAttempt) {
    LedgerKey key = new LedgerKey("vestry", START_MS + "-a", START_MS);
    return request("", "ledger", "/bookings/1", false, key, firstAttempt);
  }

  RouterRequest lookup() {
    return request("", "ledger", "/stock/1", false, null, false);
  }

  RouterRequest session(String session, String token) {
    RouterRequest r = chat("small", false);
    return new RouterRequest(
        r.requestId(),
        r.account(),
        r.task(),
        r.model(),
        "",
        "POST",
        r.path(),
        r.contentType(),
        r.body(),
        false,
        null,
        false,
        session,
        token,
        r.deadlineMs(),
        5,
        10,
        100,
        0);
  }

  private RouterRequest request(
      String model,
      String service,
      String path,
      boolean stream,
      @Nullable LedgerKey key,
      boolean firstAttempt) {
    return new RouterRequest(
        "n1.1.1",
        "vestry",
        "quote",
        model,
        service,
        "POST",
        path,
        "application/json",
        ByteString.copyFromUtf8("{}"),
        stream,
        key,
        firstAttempt,
        "",
        "",
        START_MS + DEADLINE_MS,
        5,
        10,
        100,
        0);
  }

  private final class FakeAdmission implements AdmissionControl {
    @Override
    public CompletableFuture<Permit> admit(ConfigView view, AdmissionQuery query) {
      CompletableFuture<Void> unused = admission.thenAccept(p -> outstandingPermits++);
      return admission;
    }

    @Override
    public boolean tryRetry(String account) {
      return retriesLeft-- > 0;
    }

    @Override
    public void onPeerDemand(DemandReport report) {}

    @Override
    public DemandReport localDemand() {
      return DemandReport.getDefaultInstance();
    }

    @Override
    public void tick() {}
  }

  private static final class UnsignedSessions implements SessionTokens {
    @Override
    public String issue(SessionBinding b) {
      return String.join("/", b.account(), b.session(), b.model(), b.version());
    }

    @Override
    public Optional<SessionBinding> verify(String account, String token) {
      String[] p = token.split("/", -1);
      return p.length == 4 && p[0].equals(account)
          ? Optional.of(new SessionBinding(p[0], p[1], p[2], p[3]))
          : Optional.empty();
    }
  }

  private final class FixedHome implements SessionBindings {
    @Override
    public CompletableFuture<String> bind(SessionBinding proposal) {
      return CompletableFuture.completedFuture(
          homeVersion.isEmpty() ? proposal.version() : homeVersion);
    }

    @Override
    public SessionAnswer onQuery(SessionQuery query) {
      return SessionAnswer.getDefaultInstance();
    }
  }

  private final class ServedVersions implements VersionPolicy {
    @Override
    public VersionChoice choose(ConfigView view, VersionQuery q) {
      String kept = q.boundVersion();
      if (kept != null && view.rules().withdrawRule(q.model(), kept).isEmpty()) {
        return new VersionChoice(kept, false, List.of(1));
      }
      String serving =
          view.rules()
              .serveRule(q.model())
              .map(Rule.Serve::version)
              .filter(v -> view.rules().withdrawRule(q.model(), v).isEmpty())
              .orElseThrow(() -> RefusalException.notRun(ResultCode.NO_VERSION_IN_SERVICE, "none"));
      return new VersionChoice(serving, kept != null, List.of(1));
    }

    @Override
    public void onDispatched(String model, String version) {}

    @Override
    public void onFinished(String model, String version, boolean failed) {
      finishedVersions.add(model + "/" + version + (failed ? " failed" : ""));
    }

    @Override
    public void onRated(String model, String version, boolean good) {}

    @Override
    public void onEvidence(EvidenceReport report) {}

    @Override
    public void onStopNotice(BrakeNotice notice) {}

    @Override
    public EvidenceReport evidence() {
      return EvidenceReport.getDefaultInstance();
    }
  }

  private static final class FirstEndpointChooser implements EndpointChooser {
    @Override
    public void onEndpoints(List<EndpointRecord> endpoints) {}

    @Override
    public void onLoad(EndpointLoad load) {}

    @Override
    public Optional<EndpointRecord> choose(EndpointQuery q) {
      return List.of("e1", "e2").stream()
          .filter(id -> !q.excluded().contains(id))
          .map(id -> EndpointRecord.newBuilder().setId(id).build())
          .findFirst();
    }

    @Override
    public void onDispatched(String endpointId, long expectedTokens) {}

    @Override
    public void onFinished(String endpointId, CallResult result) {}

    @Override
    public List<EndpointRecord> endpoints() {
      return List.of();
    }

    @Override
    public Optional<EndpointLoad> load(String endpointId) {
      return Optional.empty();
    }
  }

  private static final class TwoTiers implements CascadePolicy {
    @Override
    public List<String> plan(ConfigView view, String account, String task) {
      return view.rules().tiers(account, task).stream().map(Rule.Tier::model).toList();
    }

    @Override
    public boolean accept(
        ConfigView view, String account, String task, String model, OptionalDouble confidence) {
      return confidence.orElse(0) >= 0.5;
    }

    @Override
    public void onRated(
        String account, String task, String model, OptionalDouble confidence, boolean good) {}
  }
}
