package org.currantslip.adapter.rating;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Where ratings of answers come from. */
public interface RatingSource {
  /** Returns ratings after a cursor, oldest first; zero asks from the start. */
  CompletableFuture<List<Rating>> since(long cursor);
}
