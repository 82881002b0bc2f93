package org.currantslip.standin.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

final class SoakRecorderTest {
  private static final String ONCE = "/once/";

  private final SoakRecorder recorder = new SoakRecorder();

  @Test
  void limitsAnswersLostBesideFaultsElsewhere() {
    LongStream.range(0, 3).forEach(i -> recorder.addLost("a" + i));
    assertThat(recorder.allViolations(ONCE)).isEmpty();

    recorder.addLost("a3");
    assertThat(recorder.allViolations(ONCE))
        .containsExactly("LOST a0", "LOST a1", "LOST a2", "LOST a3");
  }

  @Test
  void findsSecondRunOfRequestThatMustRunOnce() {
    recorder.addRun("/once/1", "0");
    recorder.addRun("/safe/1", "0");
    recorder.addRun("/safe/1", "1");
    assertThat(recorder.allViolations(ONCE)).isEmpty();

    recorder.addRun("/once/1", "1");
    assertThat(recorder.allViolations(ONCE)).containsExactly("TWICE /once/1 ran 2 times");
  }

  @Test
  void findsFailureThatReplacedAnswer() {
    recorder.addFailure("/safe/1", 504);
    recorder.addFailure("/safe/2", 502);
    recorder.addAborted("/safe/2");
    recorder.addRun("/safe/2", "0");
    assertThat(recorder.allViolations(ONCE)).isEmpty();

    recorder.addRun("/safe/1", "0");
    assertThat(recorder.allViolations(ONCE))
        .containsExactly("GIVEN_UP /safe/1 ran, but its caller was told 504");
  }
}
