package org.currantslip.adapter.vmlist;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.VmList;

/** Source of the list of live and leaving VMs. */
public interface VmListSource {
  /** Returns the list last published by the platform, which lags behind the actual state. */
  CompletableFuture<VmList> fetch();
}
