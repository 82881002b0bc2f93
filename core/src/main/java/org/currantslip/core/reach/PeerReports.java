package org.currantslip.core.reach;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.ServiceHeard;

/** When any peer last heard an endpoint of each service, from the heartbeats of peers. */
public final class PeerReports implements ReachPeers {
  private static final int MAX_SERVICES = 256;

  private final Clock clock;
  private final Runnable asking;
  private final Map<String, Long> heardMs = new HashMap<>();

  private PeerReports(Clock clock, Runnable asking) {
    this.clock = clock;
    this.asking = asking;
  }

  /**
   * Creates reports without content.
   *
   * @param asking sends heartbeats to some peers, which reply with their reports
   */
  public static PeerReports create(Clock clock, Runnable asking) {
    return new PeerReports(clock, asking);
  }

  /** Adds the report of a peer. */
  public void onReport(List<ServiceHeard> report) {
    long nowMs = clock.nowMs();
    for (ServiceHeard heard : report) {
      if (heardMs.size() < MAX_SERVICES || heardMs.containsKey(heard.getService())) {
        heardMs.merge(heard.getService(), nowMs - Math.max(0, heard.getHeardMsAgo()), Math::max);
      }
    }
  }

  @Override
  public boolean heardSince(Set<String> services, long sinceMs) {
    return services.stream().anyMatch(s -> heardMs.getOrDefault(s, Long.MIN_VALUE) >= sinceMs);
  }

  @Override
  public boolean isEmpty() {
    return heardMs.isEmpty();
  }

  @Override
  public void ask() {
    asking.run();
  }
}
