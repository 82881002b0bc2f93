package org.currantslip.adapter.rating;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Source of response ratings. */
public interface RatingSource {
  /** Returns the ratings after {@code cursor}, oldest first; 0 starts from the beginning. */
  CompletableFuture<List<Rating>> fetchAfter(long cursor);
}
