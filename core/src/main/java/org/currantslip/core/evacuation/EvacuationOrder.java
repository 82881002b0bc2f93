package org.currantslip.core.evacuation;

/**
 * An operator's order to send nothing more to the endpoints of a failure domain.
 *
 * @param domain failure domain, which is also the name of the order
 * @param storeVersion store version of the order object, used for conditional status updates
 * @param state stored state of the order
 */
public record EvacuationOrder(String domain, long storeVersion, State state) {
  /** State of an order, as stored in its status. */
  public enum State {
    /** No status has been written yet. */
    ORDERED,
    IN_PROGRESS,
    COMPLETE
  }
}
