package org.currantslip.core.rollout;

import java.util.List;
import java.util.Optional;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.RolloutState;
import org.currantslip.schema.RolloutVerdict;

/** Decides the next state of a roll-out from the rules and the evidence. */
final class RolloutSteps {
  /**
   * What a step is decided on.
   *
   * @param stages stage rules, first stage first; empty for a version in full service
   * @param paused whether a rule pauses the roll-out
   * @param resume the resume rule, if there is one
   * @param resumeHash its hash, zero without one
   * @param stop the stop in force, if there is one
   * @param judged requests judged since the stage began
   */
  record Inputs(
      List<Rule.RolloutStage> stages,
      boolean paused,
      Optional<Rule.ResumeRollout> resume,
      long resumeHash,
      Optional<BrakeNotice> stop,
      long judged) {}

  private RolloutSteps() {}

  /** Returns the state to store; empty when nothing changes. */
  static Optional<RolloutState> next(VersionKey key, Optional<RolloutState> now, Inputs in) {
    RolloutState state = now.orElseGet(() -> first(key, in));
    RolloutState after = step(state, in);
    return now.isPresent() && after.equals(state) ? Optional.empty() : Optional.of(after);
  }

  private static RolloutState first(VersionKey key, Inputs in) {
    RolloutState.Builder state =
        RolloutState.newBuilder().setModel(key.model()).setVersion(key.version());
    in.stages().stream().findFirst().ifPresent(s -> enter(state, s));
    return state.setVerdict(RolloutVerdict.RUNNING).setResumeHash(in.resumeHash()).build();
  }

  private static RolloutState step(RolloutState state, Inputs in) {
    if (in.stop().isPresent()) {
      return stopped(state, in.stop().get());
    }
    return switch (state.getVerdict()) {
      case STOPPED -> resumed(state, in);
      case PAUSED -> in.paused() ? state : running(state);
      case RUNNING -> in.paused() ? paused(state) : advanced(state, in);
      default -> state;
    };
  }

  private static RolloutState stopped(RolloutState state, BrakeNotice stop) {
    return state.toBuilder()
        .setVerdict(RolloutVerdict.STOPPED)
        .setReason(stop.getReason())
        .setResumeHash(stop.getResumeHash())
        .build();
  }

  /** A stopped roll-out goes on only by a resume rule that it has not gone on by before. */
  private static RolloutState resumed(RolloutState state, Inputs in) {
    if (in.resumeHash() == 0 || in.resumeHash() == state.getResumeHash()) {
      return state;
    }
    RolloutState.Builder next =
        state.toBuilder()
            .setVerdict(RolloutVerdict.RUNNING)
            .setReason("")
            .setResumeHash(in.resumeHash());
    in.resume()
        .flatMap(r -> in.stages().stream().filter(s -> s.stage() == r.stage()).findFirst())
        .ifPresent(s -> enter(next, s));
    return next.build();
  }

  private static RolloutState running(RolloutState state) {
    return state.toBuilder().setVerdict(RolloutVerdict.RUNNING).build();
  }

  private static RolloutState paused(RolloutState state) {
    return state.toBuilder().setVerdict(RolloutVerdict.PAUSED).build();
  }

  private static RolloutState advanced(RolloutState state, Inputs in) {
    Optional<Rule.RolloutStage> stage =
        in.stages().stream().filter(s -> s.stage() == state.getStage()).findFirst();
    if (stage.isEmpty() || in.judged() < stage.get().minRequests()) {
      return state;
    }
    RolloutState.Builder next = state.toBuilder();
    in.stages().stream()
        .filter(s -> s.stage() > state.getStage())
        .findFirst()
        .ifPresentOrElse(s -> enter(next, s), () -> next.setVerdict(RolloutVerdict.COMPLETE));
    return next.build();
  }

  private static void enter(RolloutState.Builder state, Rule.RolloutStage stage) {
    state.setStage(stage.stage()).setShare(stage.share());
  }
}
