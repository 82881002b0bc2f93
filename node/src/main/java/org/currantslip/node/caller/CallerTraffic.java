package org.currantslip.node.caller;

import org.currantslip.core.membership.PlannedStop;
import org.currantslip.core.request.RequestEngine;

/** The requests of a node's callers, as seen by its planned stop. */
public final class CallerTraffic implements PlannedStop.Callers {
  private final FrontDoor frontDoor;
  private final RequestEngine engine;

  private CallerTraffic(FrontDoor frontDoor, RequestEngine engine) {
    this.frontDoor = frontDoor;
    this.engine = engine;
  }

  /** Creates a view of the requests that reach {@code engine} through {@code frontDoor}. */
  public static CallerTraffic create(FrontDoor frontDoor, RequestEngine engine) {
    return new CallerTraffic(frontDoor, engine);
  }

  @Override
  public void startLeaving() {
    frontDoor.startLeaving();
  }

  @Override
  public void refuseRequests() {
    frontDoor.refuseRequests();
  }

  @Override
  public int activeRequests() {
    return frontDoor.admittedCount() + engine.activeCount();
  }

  @Override
  public void endRequests() {
    engine.stop();
  }
}
