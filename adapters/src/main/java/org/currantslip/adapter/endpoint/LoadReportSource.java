package org.currantslip.adapter.endpoint;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.schema.EndpointRecord;

/** Source of endpoint load reports. */
public interface LoadReportSource {
  /** Returns the endpoint's latest report, which lags behind its actual load. */
  CompletableFuture<EndpointLoad> fetch(EndpointRecord endpoint);
}
