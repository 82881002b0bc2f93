package org.currantslip.adapter.vmlist;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.VmList;

/** Where the list of live and leaving VMs comes from. */
public interface VmListSource {
  /** Returns the list as the platform shows it now, which lags behind the truth. */
  CompletableFuture<VmList> fetch();
}
