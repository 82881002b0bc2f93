package org.currantslip.standin.load;

import java.time.Duration;
import java.util.List;

/** Processor time of the node processes. */
final class CpuMeter {
  private final List<Long> pids;
  private Duration start;

  private CpuMeter(List<Long> pids) {
    this.pids = pids;
    start = used();
  }

  static CpuMeter start(List<Long> pids) {
    return new CpuMeter(pids);
  }

  /** Returns the time used since the start or the last call. */
  Duration lap() {
    Duration now = used();
    Duration lap = now.minus(start);
    start = now;
    return lap;
  }

  private Duration used() {
    return pids.stream()
        .flatMap(pid -> ProcessHandle.of(pid).stream())
        .flatMap(p -> p.info().totalCpuDuration().stream())
        .reduce(Duration.ZERO, Duration::plus);
  }
}
