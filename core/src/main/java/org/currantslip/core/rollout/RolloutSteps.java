package org.currantslip.core.rollout;

import java.util.List;
import java.util.Optional;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.RolloutState;
import org.currantslip.schema.RolloutVerdict;

/** Computes the next state of a rollout from the rules and the evidence. */
final class RolloutSteps {
  /**
   * Inputs of a state transition.
   *
   * @param stages stage rules in ascending order; empty for a version in full service
   * @param paused whether a rule pauses the rollout
   * @param resume the resume rule, if any
   * @param resumeHash hash of the resume rule, zero if there is none
   * @param stopNotice the stop notice in effect, if any
   * @param ratings number of ratings since the stage began
   */
  record Inputs(
      List<Rule.RolloutStage> stages,
      boolean paused,
      Optional<Rule.ResumeRollout> resume,
      long resumeHash,
      Optional<BrakeNotice> stopNotice,
      long ratings) {}

  private RolloutSteps() {}

  /** Returns the state to store; empty if it is unchanged. */
  static Optional<RolloutState> next(
      VersionKey key, Optional<RolloutState> current, Inputs inputs) {
    RolloutState state = current.orElseGet(() -> initialState(key, inputs));
    RolloutState next = nextState(state, inputs);
    return current.isPresent() && next.equals(state) ? Optional.empty() : Optional.of(next);
  }

  private static RolloutState initialState(VersionKey key, Inputs inputs) {
    RolloutState.Builder state =
        RolloutState.newBuilder().setModel(key.model()).setVersion(key.version());
    inputs.stages().stream().findFirst().ifPresent(s -> enter(state, s));
    return state.setVerdict(RolloutVerdict.RUNNING).setResumeHash(inputs.resumeHash()).build();
  }

  private static RolloutState nextState(RolloutState state, Inputs inputs) {
    if (inputs.stopNotice().isPresent()) {
      return stopped(state, inputs.stopNotice().get());
    }
    return switch (state.getVerdict()) {
      case STOPPED -> resumed(state, inputs);
      case PAUSED -> inputs.paused() ? state : running(state);
      case RUNNING -> inputs.paused() ? paused(state) : advanced(state, inputs);
      default -> state;
    };
  }

  private static RolloutState stopped(RolloutState state, BrakeNotice stopNotice) {
    return state.toBuilder()
        .setVerdict(RolloutVerdict.STOPPED)
        .setReason(stopNotice.getReason())
        .setResumeHash(stopNotice.getResumeHash())
        .build();
  }

  /** Resumes a stopped rollout only by a resume rule that it has not used before. */
  private static RolloutState resumed(RolloutState state, Inputs inputs) {
    if (inputs.resumeHash() == 0 || inputs.resumeHash() == state.getResumeHash()) {
      return state;
    }
    RolloutState.Builder next =
        state.toBuilder()
            .setVerdict(RolloutVerdict.RUNNING)
            .setReason("")
            .setResumeHash(inputs.resumeHash());
    inputs
        .resume()
        .flatMap(r -> inputs.stages().stream().filter(s -> s.stage() == r.stage()).findFirst())
        .ifPresent(s -> enter(next, s));
    return next.build();
  }

  private static RolloutState running(RolloutState state) {
    return state.toBuilder().setVerdict(RolloutVerdict.RUNNING).build();
  }

  private static RolloutState paused(RolloutState state) {
    return state.toBuilder().setVerdict(RolloutVerdict.PAUSED).build();
  }

  private static RolloutState advanced(RolloutState state, Inputs inputs) {
    Optional<Rule.RolloutStage> stage =
        inputs.stages().stream().filter(s -> s.stage() == state.getStage()).findFirst();
    if (stage.isEmpty() || inputs.ratings() < stage.get().minRequests()) {
      return state;
    }
    RolloutState.Builder next = state.toBuilder();
    inputs.stages().stream()
        .filter(s -> s.stage() > state.getStage())
        .findFirst()
        .ifPresentOrElse(s -> enter(next, s), () -> next.setVerdict(RolloutVerdict.COMPLETE));
    return next.build();
  }

  private static void enter(RolloutState.Builder state, Rule.RolloutStage stage) {
    state.setStage(stage.stage()).setShare(stage.share());
  }
}
