package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.limits.Permit;
import org.junit.jupiter.api.Test;

final class RequestFlowTest {
  private static final long NOW_MS = 1_000;

  private final List<ResultCode> refusals = new ArrayList<>();

  /** A flow whose steps fail where the test says so. */
  private final class FaultyFlow extends RequestFlow {
    private final boolean failsAtStart;
    private final boolean failsAtRefusal;

    private FaultyFlow(boolean failsAtStart, boolean failsAtRefusal) {
      this.failsAtStart = failsAtStart;
      this.failsAtRefusal = failsAtRefusal;
    }

    @Override
    void check() {
      if (failsAtStart) {
        throw new IllegalStateException("fault in a check");
      }
    }

    @Override
    CompletableFuture<Permit> admit() {
      return new CompletableFuture<>();
    }

    @Override
    void proceed() {}

    @Override
    void refuse(RefusalException e) {
      if (failsAtRefusal) {
        throw new IllegalStateException("fault in a refusal");
      }
      refusals.add(e.code());
      close(0);
    }

    @Override
    void onCallerDisconnected() {}

    @Override
    void onNodeStop() {
      throw new IllegalStateException("fault in a stop");
    }

    @Override
    void onTick(long nowMs) {
      throw new IllegalStateException("fault in a tick");
    }

    @Override
    public boolean onData(Attempt attempt, ByteString data) {
      return true;
    }

    @Override
    public void onResponse(Attempt attempt, EndpointUsage usage) {}

    @Override
    public void onFault(Attempt attempt, Attempt.Fault fault) {}
  }

  @Test
  void flowWhoseStartFailsIsRefusedAndDone() {
    RequestFlow flow = new FaultyFlow(true, false);
    flow.start();

    assertThat(refusals).containsExactly(ResultCode.INTERNAL);
    assertThat(flow.isDone()).isTrue();
  }

  @Test
  void flowWhoseTickFailsIsRefusedAndDone() {
    RequestFlow flow = new FaultyFlow(false, false);
    flow.start();
    flow.tick(NOW_MS);

    assertThat(refusals).containsExactly(ResultCode.INTERNAL);
    assertThat(flow.isDone()).isTrue();
  }

  @Test
  void flowWhoseStopFailsIsRefusedAndDone() {
    RequestFlow flow = new FaultyFlow(false, false);
    flow.start();
    flow.stop();

    assertThat(refusals).containsExactly(ResultCode.INTERNAL);
    assertThat(flow.isDone()).isTrue();
  }

  @Test
  void flowThatCannotBeRefusedFailsOnlyOnce() {
    RequestFlow flow = new FaultyFlow(false, true);
    flow.start();
    assertThrows(IllegalStateException.class, () -> flow.tick(NOW_MS));
    flow.tick(NOW_MS);

    assertThat(flow.isDone()).isTrue();
  }
}
