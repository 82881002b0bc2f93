package org.currantslip.node.poll;

import java.util.List;
import java.util.function.Consumer;
import org.currantslip.adapter.vmlist.VmListSource;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.VmList;

/** Keeps the known endpoints as the VM list shows them; an outage keeps the last list. */
public final class VmListPoll {
  private static final long EVERY_MS = 1_000;

  private final VmListSource source;
  private final Interval interval;
  private final Consumer<List<EndpointRecord>> onChange;
  private long version = -1;

  private VmListPoll(VmListSource source, Clock clock, Consumer<List<EndpointRecord>> onChange) {
    this.source = source;
    this.onChange = onChange;
    interval = Interval.of(clock, EVERY_MS);
  }

  /** Returns a poll that reports each newer list. */
  public static VmListPoll create(
      VmListSource source, Clock clock, Consumer<List<EndpointRecord>> onChange) {
    return new VmListPoll(source, clock, onChange);
  }

  /** Reads the list when it is due. */
  public void tick() {
    if (interval.begin()) {
      source.fetch().whenComplete((list, failure) -> onFetched(list, failure));
    }
  }

  private void onFetched(VmList list, Throwable failure) {
    interval.end();
    if (failure == null && list.getVersion() > version) {
      version = list.getVersion();
      onChange.accept(list.getEndpointList());
    }
  }
}
