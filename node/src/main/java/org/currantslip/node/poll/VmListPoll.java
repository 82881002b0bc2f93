package org.currantslip.node.poll;

import java.util.List;
import java.util.function.Consumer;
import org.currantslip.adapter.vmlist.VmListSource;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.VmList;

/** Updates the known endpoints from the VM list; during an outage the last list stays in use. */
public final class VmListPoll {
  private static final long INTERVAL_MS = 1_000;

  private final VmListSource source;
  private final PollSchedule schedule;
  private final Consumer<List<EndpointRecord>> listener;
  private long version = -1;

  private VmListPoll(VmListSource source, Clock clock, Consumer<List<EndpointRecord>> listener) {
    this.source = source;
    this.listener = listener;
    schedule = PollSchedule.of(clock, INTERVAL_MS);
  }

  /** Creates a poll that reports each newer list. */
  public static VmListPoll create(
      VmListSource source, Clock clock, Consumer<List<EndpointRecord>> listener) {
    return new VmListPoll(source, clock, listener);
  }

  /** Fetches the list when it is due. */
  public void tick() {
    if (schedule.tryStart()) {
      source.fetch().whenComplete((list, failure) -> onFetched(list, failure));
    }
  }

  private void onFetched(VmList list, Throwable failure) {
    schedule.finish();
    if (failure == null && list.getVersion() > version) {
      version = list.getVersion();
      listener.accept(list.getEndpointList());
    }
  }
}
