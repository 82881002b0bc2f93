package org.currantslip.node.edge;

import java.util.List;
import java.util.stream.Collectors;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.quarantine.QuarantineListener;
import org.currantslip.schema.EndpointCrash;
import org.currantslip.schema.PartVerdict;
import org.currantslip.schema.SuspectPart;

/** Logs the crashes and the verdicts on prompt parts that this node finds. */
final class QuarantineLog implements QuarantineListener {
  private static final int MAX_LISTED = 8;

  private final RateLimitedTrace trace;

  private QuarantineLog(RateLimitedTrace trace) {
    this.trace = trace;
  }

  static QuarantineLog create(RateLimitedTrace trace) {
    return new QuarantineLog(trace);
  }

  @Override
  public void onCrash(EndpointCrash crash) {
    trace.record(
        LogEvent.ENDPOINT_CRASHED,
        () ->
            "service=%s endpoint=%s age_ms=%d suspects=%d parts=%s"
                .formatted(
                    crash.getService(),
                    crash.getEndpoint(),
                    crash.getAgeMs(),
                    crash.getPartCount(),
                    crash.getPartList().stream()
                        .limit(MAX_LISTED)
                        .map(SuspectPart::getId)
                        .collect(Collectors.joining(","))));
  }

  @Override
  public void onVerdict(PartVerdict verdict, List<EndpointCrash> evidence) {
    trace.record(
        verdict.getQuarantined() ? LogEvent.PART_QUARANTINED : LogEvent.PART_RELEASED,
        () ->
            "service=%s part=%s failed_trials=%d crashes=%d evidence=%s"
                .formatted(
                    verdict.getService(),
                    verdict.getPart(),
                    verdict.getFailedTrials(),
                    evidence.size(),
                    evidence.stream()
                        .limit(MAX_LISTED)
                        .map(c -> c.getEndpoint() + ":" + c.getAgeMs())
                        .collect(Collectors.joining(","))));
  }
}
