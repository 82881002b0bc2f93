package org.currantslip.core.request;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.route.Route;
import org.jspecify.annotations.Nullable;

/** Model sizes that one forwarded request tries in turn. */
final class SizeEscalation {
  private final SizeCascade cascade;
  private final Route route;
  private final EndpointSelection selection;
  private int size;
  private int nextSize;
  private SizeCascade.@Nullable Answer previousAnswer;

  private SizeEscalation(SizeCascade cascade, Route route, EndpointSelection selection) {
    this.cascade = cascade;
    this.route = route;
    this.selection = selection;
    size = cascade.firstSize(route);
  }

  static SizeEscalation create(SizeCascade cascade, Route route, EndpointSelection selection) {
    return new SizeEscalation(cascade, route, selection);
  }

  /** Returns the index of the current model size. */
  int size() {
    return size;
  }

  /** Returns the index of the larger size that the last judged answer calls for. */
  int nextSize() {
    return nextSize;
  }

  /** Makes the larger size the current one. */
  void escalate() {
    size = nextSize;
  }

  /**
   * Returns whether a larger size should answer instead of the current one.
   *
   * @param version version that answered
   * @param leftMs time left until the objective
   * @param mayRepeat whether the request may run once more
   */
  boolean isDue(String version, OptionalDouble confidence, long leftMs, boolean mayRepeat) {
    if (previousAnswer != null) {
      cascade.observe(route, previousAnswer, size, confidence);
    }
    SizeCascade.Answer answer = new SizeCascade.Answer(size, confidence);
    OptionalInt next = cascade.nextSize(route, answer);
    if (next.isEmpty() || !mayRepeat) {
      return false;
    }
    OptionalDouble expectedMs = selection.expectedFirstTokenMs(version, next.getAsInt());
    if (expectedMs.isEmpty()
        || !cascade.isEscalationWorthwhile(
            answer, expectedMs.getAsDouble(), leftMs, route.objectiveMs())) {
      return false;
    }
    previousAnswer = answer;
    nextSize = next.getAsInt();
    return true;
  }
}
