package org.currantslip.adapter.engine;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.EndpointRecord;

/** Gives orders to model engines. */
public interface EngineOrders {
  /** Gives an order; the future never fails. */
  CompletableFuture<OrderResult> give(EndpointRecord engine, EngineOrder order);
}
