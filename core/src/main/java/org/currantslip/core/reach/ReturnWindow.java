package org.currantslip.core.reach;

/** Lets calls to endpoints grow in number after a lost path, as fast as they are answered. */
final class ReturnWindow {
  /** Answered calls after which the path counts as restored. */
  private static final int MAX_ANSWERED = 32;

  /** Time without a failure after which the path counts as restored. */
  private static final long MAX_MS = 3_000;

  /** One endpoint may be down while the path is restored. */
  private static final int MAX_FAILURES = 2;

  private final long startedMs;
  private int answered;
  private int failures;

  private ReturnWindow(long startedMs) {
    this.startedMs = startedMs;
  }

  static ReturnWindow startingAt(long nowMs) {
    return new ReturnWindow(nowMs);
  }

  /** Records the first data of a call, with which one more call may be open. */
  void onAnswered() {
    answered++;
    failures = 0;
  }

  /** Records a failed or silent call; returns whether the path is lost again. */
  boolean onFailure() {
    failures++;
    return failures >= MAX_FAILURES;
  }

  boolean hasAnswers() {
    return answered > 0;
  }

  boolean admits(int openCalls) {
    return openCalls <= answered && failures == 0 || openCalls == 0;
  }

  boolean isOver(long nowMs) {
    return answered >= MAX_ANSWERED || nowMs - startedMs >= MAX_MS;
  }
}
