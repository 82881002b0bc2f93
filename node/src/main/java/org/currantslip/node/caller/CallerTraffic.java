package org.currantslip.node.caller;

import java.util.function.IntSupplier;
import org.currantslip.core.membership.PlannedStop;
import org.currantslip.core.request.RequestEngine;

/** The requests of a node's callers, as seen by its planned stop. */
public final class CallerTraffic implements PlannedStop.Callers {
  private final FrontDoor frontDoor;
  private final RequestEngine engine;
  private final IntSupplier peerRequests;

  private CallerTraffic(FrontDoor frontDoor, RequestEngine engine, IntSupplier peerRequests) {
    this.frontDoor = frontDoor;
    this.engine = engine;
    this.peerRequests = peerRequests;
  }

  /** Creates a view of the requests that reach {@code engine} through {@code frontDoor}. */
  public static CallerTraffic create(FrontDoor frontDoor, RequestEngine engine) {
    return create(frontDoor, engine, () -> 0);
  }

  /**
   * Creates a view of the requests that reach {@code engine} through {@code frontDoor} or peers.
   *
   * @param peerRequests returns the number of requests of peers whose responses they do not have
   */
  public static CallerTraffic create(
      FrontDoor frontDoor, RequestEngine engine, IntSupplier peerRequests) {
    return new CallerTraffic(frontDoor, engine, peerRequests);
  }

  @Override
  public void startLeaving(long endMs) {
    frontDoor.startLeaving();
    engine.stopAt(endMs);
  }

  @Override
  public void refuseRequests() {
    frontDoor.refuseRequests();
  }

  @Override
  public int activeRequests() {
    return frontDoor.admittedCount() + engine.activeCount() + peerRequests.getAsInt();
  }

  @Override
  public void endRequests() {
    engine.stop();
  }
}
