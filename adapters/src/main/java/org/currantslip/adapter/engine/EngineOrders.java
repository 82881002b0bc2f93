package org.currantslip.adapter.engine;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.EndpointRecord;

/** Sends commands to model engines. */
public interface EngineOrders {
  /** Sends a command. Failures are reported as an {@link OrderResult}; the future never fails. */
  CompletableFuture<OrderResult> give(EndpointRecord engine, EngineOrder order);
}
