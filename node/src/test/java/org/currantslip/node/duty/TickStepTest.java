package org.currantslip.node.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class TickStepTest {
  @Test
  void stepThatFailsDoesNotKeepLaterStepsFromRunning() {
    List<String> ran = new ArrayList<>();
    TickStep.run(
        "broken",
        () -> {
          throw new IllegalStateException("fault in a step");
        });
    TickStep.run("stop", () -> ran.add("stop"));

    assertThat(ran).containsExactly("stop");
  }
}
