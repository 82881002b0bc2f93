package org.currantslip.adapter.weights;

import java.util.concurrent.CompletableFuture;

/** The store that model weights are fetched from. */
public interface WeightStore {
  /** Fetches the weights of a version; false when the store's rate limit refuses for now. */
  CompletableFuture<Boolean> fetch(String model, String version);
}
