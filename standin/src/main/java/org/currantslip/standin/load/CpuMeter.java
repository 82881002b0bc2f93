package org.currantslip.standin.load;

import java.time.Duration;
import java.util.List;

/** Measures the CPU time of the node processes. */
final class CpuMeter {
  private final List<Long> pids;
  private Duration start;

  private CpuMeter(List<Long> pids) {
    this.pids = pids;
    start = totalCpuTime();
  }

  static CpuMeter start(List<Long> pids) {
    return new CpuMeter(pids);
  }

  /** Returns the CPU time since the start or the previous call. */
  Duration lap() {
    Duration now = totalCpuTime();
    Duration lap = now.minus(start);
    start = now;
    return lap;
  }

  private Duration totalCpuTime() {
    return pids.stream()
        .flatMap(pid -> ProcessHandle.of(pid).stream())
        .flatMap(p -> p.info().totalCpuDuration().stream())
        .reduce(Duration.ZERO, Duration::plus);
  }
}
