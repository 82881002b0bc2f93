package org.currantslip.core.reach;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.core.routing.CallResult;
import org.currantslip.core.routing.RequestTracker;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.ServiceHeard;

/**
 * Detects that this node has lost its path to all endpoints, and its return.
 *
 * <p>The path counts as lost when calls to endpoints of several failure domains fail or are silent,
 * none was heard since, and a peer hears endpoints of the same services. If peers hear none either,
 * the endpoints are down. A node without calls concludes nothing.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
public final class EndpointReach {
  /** A stream or a plain response pauses for less, unless its endpoint or the path fails. */
  private static final long SILENT_MS = 400;

  /** A call without a head may take this multiple of the expected time to its first token. */
  private static final double MAX_RELATIVE_TIME = 2;

  /** Covers the delay of a peer's report, which makes the peer seem to have heard later. */
  private static final long REPORT_MARGIN_MS = 50;

  private static final long ASK_INTERVAL_MS = 100;

  /** Time for which crashes are not judged because the path may be lost. */
  private static final long MAX_DOUBT_MS = 1_000;

  private static final int MIN_DOUBTED_ENDPOINTS = 2;
  private static final long TRIAL_INTERVAL_MS = 1_000;

  /** Time without a trial after which requests that may not be repeated are tried, too. */
  private static final long ANY_TRIAL_AFTER_MS = 5_000;

  /** Time without a trial, for lack of callers, after which the node is offered to callers. */
  private static final long MIN_LAPSE_MS = 3_000;

  private static final long MAX_LAPSE_MS = 12_000;

  private final Clock clock;
  private final ReachPeers peers;
  private final ReachListener listener;
  private final ServicesHeard heard = ServicesHeard.create();
  private final PathEvidence evidence = PathEvidence.create();
  private final Set<Call> openCalls = new HashSet<>();
  private PathState state = PathState.REACHING;
  private ReturnWindow window = ReturnWindow.startingAt(0);
  private int endpointCount;
  private int domainCount;
  private long lastHeardMs = Long.MIN_VALUE / 2;
  private long completeMs = Long.MAX_VALUE;
  private long nextAskMs;
  private long cutMs;
  private long lastTrialMs;
  private long previousTrialMs;
  private long lapseMs = MIN_LAPSE_MS;

  private EndpointReach(Clock clock, ReachPeers peers, ReachListener listener) {
    this.clock = clock;
    this.peers = peers;
    this.listener = listener;
  }

  /** Creates the reach of a node that has made no call yet. */
  public static EndpointReach create(Clock clock, ReachPeers peers, ReachListener listener) {
    return new EndpointReach(clock, peers, listener);
  }

  /** Returns the reach of a node without peers, which never takes itself for cut off. */
  public static EndpointReach alone(Clock clock) {
    return create(clock, ReachPeers.none(), (from, to, sinceMs) -> {});
  }

  /** Replaces the endpoints that there are. */
  public void onEndpoints(List<EndpointRecord> endpoints) {
    endpointCount = endpoints.size();
    domainCount = (int) endpoints.stream().map(EndpointRecord::getFailureDomain).distinct().count();
  }

  /** Returns a tracker that observes a call and passes on what concerns its endpoint. */
  public RequestTracker track(EndpointRecord endpoint, RequestTracker tracker) {
    return new Call(endpoint, tracker);
  }

  /** Returns the state of the path. */
  public PathState state() {
    return state;
  }

  /** Returns whether no endpoint is reached. */
  public boolean isCut() {
    return state == PathState.CUT;
  }

  /**
   * Returns whether a call that was sent at a time and is silent has most likely not arrived, since
   * the path was known to be lost then and still is.
   */
  public boolean isTrial(long sentMs) {
    return isCut() && sentMs >= cutMs;
  }

  /** Returns whether broken calls may be due to the path, so that they are not judged now. */
  public boolean isDoubtful() {
    return state == PathState.CUT
        || (!peers.isEmpty()
            && evidence.size() >= MIN_DOUBTED_ENDPOINTS
            && clock.nowMs() - evidence.firstMs() < MAX_DOUBT_MS);
  }

  /**
   * Returns whether a call that was sent at a time may be judged by its silence. That takes some
   * endpoint that was heard since, except at a node without peers.
   */
  public boolean judgesSilence(long sentMs) {
    return peers.isEmpty() || (!isCut() && lastHeardMs >= sentMs);
  }

  /** Returns the services whose endpoints this node has heard lately, for peers. */
  public List<ServiceHeard> report() {
    return heard.report(clock.nowMs());
  }

  /**
   * Returns whether this node sends a request to an endpoint itself; otherwise a peer has to. While
   * the path is lost, this allows one trial at a time.
   *
   * @param repeatable whether the request may be sent again after a failure
   */
  public boolean admits(boolean repeatable) {
    long nowMs = clock.nowMs();
    return switch (state) {
      case REACHING, SUSPECTED -> true;
      case CUT -> tryTrial(repeatable, nowMs);
      // After a lapse nothing is known yet, so that the first call is a trial like any other.
      case RETURNING -> (repeatable || window.hasAnswers()) && window.admits(newCallCount());
    };
  }

  private boolean tryTrial(boolean repeatable, long nowMs) {
    long sinceTrialMs = nowMs - lastTrialMs;
    boolean due = sinceTrialMs >= (repeatable ? TRIAL_INTERVAL_MS : ANY_TRIAL_AFTER_MS);
    if (!due || newCallCount() > 0) {
      return false;
    }
    previousTrialMs = lastTrialMs;
    lastTrialMs = nowMs;
    return true;
  }

  /** Called when no endpoint could be tried by the trial that was allowed last. */
  public void onTrialUnused() {
    lastTrialMs = previousTrialMs;
  }

  private int newCallCount() {
    return (int) openCalls.stream().filter(c -> c.startedMs >= cutMs && !c.silent).count();
  }

  /** Judges silent calls and asks peers; called every few milliseconds. */
  public void tick() {
    long nowMs = clock.nowMs();
    if (nowMs - lastHeardMs >= SILENT_MS) {
      openCalls.forEach(c -> c.checkSilence(nowMs));
    }
    switch (state) {
      case REACHING, SUSPECTED -> checkEvidence(nowMs);
      case CUT -> checkLapse(nowMs);
      case RETURNING -> {
        if (window.isOver(nowMs)) {
          lapseMs = MIN_LAPSE_MS;
          change(PathState.REACHING);
        }
      }
      default -> throw new IllegalStateException("unknown state " + state);
    }
  }

  private void checkEvidence(long nowMs) {
    evidence.expire(nowMs);
    change(
        evidence.size() >= Math.min(MIN_DOUBTED_ENDPOINTS, endpointCount) && !evidence.isEmpty()
            ? PathState.SUSPECTED
            : PathState.REACHING);
    if (!evidence.isComplete(endpointCount, domainCount)) {
      completeMs = Long.MAX_VALUE;
      return;
    }
    completeMs = Math.min(completeMs, nowMs);
    if (peers.heardSince(evidence.services(), completeMs + REPORT_MARGIN_MS)) {
      startCut(nowMs);
    } else if (nowMs >= nextAskMs) {
      nextAskMs = nowMs + ASK_INTERVAL_MS;
      peers.ask();
    }
  }

  private void startCut(long nowMs) {
    cutMs = nowMs;
    lastTrialMs = nowMs;
    previousTrialMs = nowMs;
    change(PathState.CUT);
  }

  /** The directory leaves out a node that is cut off, so that it may have no caller to try. */
  private void checkLapse(long nowMs) {
    if (nowMs - lastTrialMs >= lapseMs + TRIAL_INTERVAL_MS) {
      lapseMs = Math.min(MAX_LAPSE_MS, 2 * lapseMs);
      startReturn(nowMs);
    }
  }

  private void startReturn(long nowMs) {
    window = ReturnWindow.startingAt(nowMs);
    change(PathState.RETURNING);
  }

  private void change(PathState next) {
    PathState previous = state;
    if (previous == next) {
      return;
    }
    long sinceMs = evidence.sinceMs();
    state = next;
    if (next == PathState.CUT || previous.isUnreachable()) {
      evidence.clear();
      completeMs = Long.MAX_VALUE;
    }
    listener.onChange(previous, next, Math.min(sinceMs, clock.nowMs()));
  }

  /** One call to an endpoint. */
  private final class Call implements RequestTracker {
    private final EndpointRecord endpoint;
    private final RequestTracker tracker;
    private final ServicesHeard.Time serviceTime;
    private long startedMs;
    private long callHeardMs;
    private boolean answered;
    private boolean silent;

    private Call(EndpointRecord endpoint, RequestTracker tracker) {
      this.endpoint = endpoint;
      this.tracker = tracker;
      serviceTime = heard.time(endpoint.getService());
    }

    @Override
    public void onStarted(long expectedTokens) {
      startedMs = clock.nowMs();
      callHeardMs = startedMs;
      openCalls.add(this);
      tracker.onStarted(expectedTokens);
    }

    private boolean isNew() {
      return startedMs >= cutMs;
    }

    @Override
    public void onHeard() {
      long nowMs = clock.nowMs();
      lastHeardMs = nowMs;
      callHeardMs = nowMs;
      silent = false;
      serviceTime.set(nowMs);
      if (!evidence.isEmpty()) {
        evidence.onHeard(endpoint.getId(), startedMs, nowMs);
      }
      if (!answered && isNew()) {
        onNewAnswer(nowMs);
      }
      answered = true;
      tracker.onHeard();
    }

    private void onNewAnswer(long nowMs) {
      if (state == PathState.CUT) {
        startReturn(nowMs);
      }
      if (state == PathState.RETURNING) {
        window.onAnswered();
      }
    }

    private void checkSilence(long nowMs) {
      double allowedMs = SILENT_MS + (answered ? 0 : MAX_RELATIVE_TIME * tracker.expectedHeadMs());
      if (!silent && nowMs - callHeardMs >= allowedMs) {
        silent = true;
        onNoPath(PathEvidence.Kind.SILENT);
      }
    }

    private void onNoPath(PathEvidence.Kind kind) {
      switch (state) {
        case REACHING, SUSPECTED -> evidence.add(endpoint, kind, startedMs, clock.nowMs());
        case RETURNING -> {
          if (isNew() && window.onFailure()) {
            startCut(clock.nowMs());
          }
        }
        default -> {
          // The path is known to be lost.
        }
      }
    }

    @Override
    public void onConnectFailure() {
      onNoPath(PathEvidence.Kind.CONNECT);
      if (!isCut()) {
        tracker.onConnectFailure();
      }
    }

    @Override
    public void onFinished(CallResult result) {
      boolean failed = !result.ok() && !result.declined();
      openCalls.remove(this);
      tracker.onFinished(failed && isCut() ? withoutBlame(result) : result);
    }

    private static CallResult withoutBlame(CallResult result) {
      return new CallResult(false, false, result.firstByteMs(), result.totalMs(), true);
    }

    @Override
    public void onBroken() {
      onNoPath(PathEvidence.Kind.BROKEN);
    }

    @Override
    public void onNoRoom() {
      tracker.onNoRoom();
    }

    @Override
    public double expectedHeadMs() {
      return tracker.expectedHeadMs();
    }

    @Override
    public double expectedFirstTokenMs() {
      return tracker.expectedFirstTokenMs();
    }

    @Override
    public void onFirstByte(long firstByteMs) {
      tracker.onFirstByte(firstByteMs);
    }

    @Override
    public long endpointSilentMs() {
      return tracker.endpointSilentMs();
    }
  }
}
