package org.currantslip.core.cascade;

import java.util.List;
import java.util.OptionalDouble;
import org.currantslip.core.config.ConfigView;

/** Selects the models to try for a task, and decides whether an answer is good enough. */
public interface CascadePolicy {
  /** Returns the models to try in order; the answer of the last one is always accepted. */
  List<String> plan(ConfigView config, String account, String task);

  /**
   * Returns whether the answer of a model may be returned to the caller.
   *
   * @param confidence the model's confidence in its answer, if reported
   */
  boolean accept(
      ConfigView config, String account, String task, String model, OptionalDouble confidence);

  /** Records a rating of an answer. */
  void onRated(String account, String task, String model, OptionalDouble confidence, boolean good);
}
