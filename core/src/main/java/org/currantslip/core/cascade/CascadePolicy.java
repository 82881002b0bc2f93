package org.currantslip.core.cascade;

import java.util.List;
import java.util.OptionalDouble;
import org.currantslip.core.config.ConfigView;

/** Chooses the models to try for a task, and whether an answer is good enough. */
public interface CascadePolicy {
  /** Returns the models to try in order; the last one's answer is always taken. */
  List<String> plan(ConfigView config, String account, String task);

  /**
   * Returns whether the answer of a tier may be given to the caller.
   *
   * @param confidence the endpoint's own confidence in the answer, if it gave one
   */
  boolean accept(
      ConfigView config, String account, String task, String model, OptionalDouble confidence);

  /** Counts a rating of an answer of a tier. */
  void rated(String account, String task, String model, OptionalDouble confidence, boolean good);
}
