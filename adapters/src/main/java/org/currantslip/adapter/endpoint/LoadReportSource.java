package org.currantslip.adapter.endpoint;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.schema.EndpointRecord;

/** Where load reports come from. */
public interface LoadReportSource {
  /** Returns the endpoint's newest report, which lags behind the truth. */
  CompletableFuture<EndpointLoad> fetch(EndpointRecord endpoint);
}
