package org.currantslip.core.rollout;

/**
 * An operator's order to move a service to a version.
 *
 * @param service the service
 * @param target version to move to
 * @param durationMs time by which a good version has to be in service
 * @param storeVersion store version of the order's object, which guards changes of its status
 * @param progress how far it has come, as stored
 */
public record RolloutOrder(
    String service, String target, long durationMs, long storeVersion, Progress progress) {

  /** What the status of an order says. */
  public enum State {
    /** No status was written yet. */
    ORDERED,
    IN_PROGRESS,
    COMPLETE,
    ROLLED_BACK
  }

  /**
   * How far a roll-out has come.
   *
   * @param state its state
   * @param share part of the sessions that use the new version
   */
  public record Progress(State state, double share) {
    private static final Progress ORDERED = new Progress(State.ORDERED, 0);

    /** Returns the progress of an order without a status. */
    public static Progress ordered() {
      return ORDERED;
    }

    /** Returns whether nothing more is to be done. */
    public boolean isFinal() {
      return state == State.COMPLETE || state == State.ROLLED_BACK;
    }
  }

  /** Returns whether this is the same order, at whatever progress. */
  boolean isSameOrder(RolloutOrder other) {
    return service.equals(other.service) && target.equals(other.target);
  }
}
