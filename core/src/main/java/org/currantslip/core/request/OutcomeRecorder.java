package org.currantslip.core.request;

import org.currantslip.core.rollout.OutcomeSample;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteKind;

/** Adds the outcomes of one forwarded request to the statistics of the versions it was sent to. */
final class OutcomeRecorder {
  private final ServiceRollouts rollouts;
  private final Route route;
  private final String service;
  private String model = "";
  private boolean firstEventRecorded;
  private boolean paceRecorded;

  private OutcomeRecorder(ServiceRollouts rollouts, Route route, String service) {
    this.rollouts = rollouts;
    this.route = route;
    this.service = service;
  }

  static OutcomeRecorder create(ServiceRollouts rollouts, Route route, String service) {
    return new OutcomeRecorder(rollouts, route, service);
  }

  /** Starts the samples of the next attempt. */
  void onDispatched(String attemptModel) {
    model = attemptModel;
    firstEventRecorded = false;
    paceRecorded = false;
  }

  /** Leaves out the times of the current attempt, during which this node stood still. */
  void onNodeResumed() {
    firstEventRecorded = true;
    paceRecorded = true;
  }

  /** Records the time to the first event of an attempt. */
  void onFirstEvent(Attempt a) {
    if (!firstEventRecorded) {
      firstEventRecorded = true;
      record(a, OutcomeSample.firstEvent(model, a.relativeTime()));
    }
  }

  /**
   * Records the times of an open stream that are already slow, since a slow stream ends late and
   * would be missing among the samples of a rollout.
   */
  void onTick(Attempt a) {
    if (route.kind() != RouteKind.STREAMING) {
      return;
    }
    if (!firstEventRecorded && rollouts.isFirstEventSlow(route.name(), model, a.relativeTime())) {
      onFirstEvent(a);
    }
    double intervalMs = a.openEventIntervalMs();
    if (!paceRecorded && rollouts.isPaceSlow(route.name(), model, intervalMs)) {
      paceRecorded = true;
      record(a, OutcomeSample.pace(model, intervalMs));
    }
  }

  /** Records a failed attempt. */
  void onFailed(Attempt a) {
    record(a, OutcomeSample.failed());
  }

  /** Records an answered attempt, with its response time unless that was recorded before. */
  void onAnswered(Attempt a, int eventCount) {
    double responseMs = a.elapsedMs();
    if (route.kind() == RouteKind.STREAMING) {
      responseMs = paceRecorded ? -1 : a.meanEventIntervalMs(eventCount);
    }
    record(a, OutcomeSample.answered(model, responseMs));
  }

  private void record(Attempt a, OutcomeSample sample) {
    rollouts.onOutcome(service, a.endpoint().getVersion(), route.name(), sample);
  }
}
