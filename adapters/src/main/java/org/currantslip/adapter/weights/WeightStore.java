package org.currantslip.adapter.weights;

import java.util.concurrent.CompletableFuture;

/** Store from which model weights are fetched. */
public interface WeightStore {
  /** Fetches the weights of a version; returns false if the store's rate limit rejects the call. */
  CompletableFuture<Boolean> fetch(String model, String version);
}
