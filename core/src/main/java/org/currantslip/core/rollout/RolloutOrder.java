package org.currantslip.core.rollout;

/**
 * An operator's order to move a service to a version.
 *
 * @param service name of the service
 * @param target version to roll out
 * @param durationMs time within which a good version must be in full service
 * @param storeVersion store version of the order object, used for conditional status updates
 * @param progress stored progress of the rollout
 */
public record RolloutOrder(
    String service, String target, long durationMs, long storeVersion, Progress progress) {

  /** State of an order, as stored in its status. */
  public enum State {
    /** No status has been written yet. */
    ORDERED,
    IN_PROGRESS,
    COMPLETE,
    ROLLED_BACK
  }

  /**
   * Progress of a rollout.
   *
   * @param state state of the rollout
   * @param share fraction of the requests without a session on the new version
   * @param sessionShare fraction of the sessions on the new version
   */
  public record Progress(State state, double share, double sessionShare) {
    private static final Progress ORDERED = new Progress(State.ORDERED, 0);

    /** Creates a progress with the same share of requests and sessions. */
    public Progress(State state, double share) {
      this(state, share, share);
    }

    /** Returns the progress of an order without a status. */
    public static Progress ordered() {
      return ORDERED;
    }

    /** Returns whether the rollout has ended. */
    public boolean isFinal() {
      return state == State.COMPLETE || state == State.ROLLED_BACK;
    }

    /** Returns the later of two progresses of one order. Progress never reverts. */
    Progress latest(Progress other) {
      if (isFinal() || other.isFinal()) {
        return state.compareTo(other.state) >= 0 ? this : other;
      }
      return new Progress(
          state.compareTo(other.state) >= 0 ? state : other.state,
          Math.max(share, other.share),
          Math.max(sessionShare, other.sessionShare));
    }
  }

  /** Returns whether both have the same service and target, regardless of progress. */
  boolean isSameOrder(RolloutOrder other) {
    return service.equals(other.service) && target.equals(other.target);
  }
}
