package org.currantslip.standin.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SoakRecorderTest {
  private static final String ONCE = "/once/";

  private final SoakRecorder recorder = new SoakRecorder();

  @ParameterizedTest
  @CsvSource({
    // crashes, sends later than the contact time after the third crash, violations
    "2, 9, 0",
    "3, 3, 0",
    "3, 4, 1",
    "5, 4, 1",
  })
  void limitsSendsOfCrashingRequest(int crashes, int lateSends, int violations) {
    LongStream.range(0, crashes).forEach(at -> recorder.crashes().addCrash("m", at));
    long thirdMs = 2;
    recorder.crashes().addSend("m", thirdMs);
    recorder.crashes().addSend("m", thirdMs + CrashLog.CONTACT_MS);
    LongStream.rangeClosed(1, lateSends)
        .forEach(i -> recorder.crashes().addSend("m", thirdMs + CrashLog.CONTACT_MS + i));

    assertThat(recorder.allViolations(ONCE)).hasSize(violations);
  }

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
