package org.currantslip.core.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** The endpoints that can serve one model version or service, with a hash ring over them. */
final class EndpointPool {
  private static final int POINTS_PER_ENDPOINT = 32;

  private final EndpointState[] members;
  private final long[] points;
  private final int[] owners;

  private EndpointPool(EndpointState[] members, long[] points, int[] owners) {
    this.members = members;
    this.points = points;
    this.owners = owners;
  }

  static EndpointPool of(List<EndpointState> states) {
    EndpointState[] members =
        states.stream()
            .sorted(Comparator.comparing((EndpointState s) -> s.rec().getId()))
            .toArray(EndpointState[]::new);
    int n = members.length * POINTS_PER_ENDPOINT;
    long[] hashes = new long[n];
    for (int i = 0; i < n; i++) {
      long seed = members[i / POINTS_PER_ENDPOINT].rec().getId().hashCode();
      hashes[i] = mix(seed * 0x9E3779B97F4A7C15L + i % POINTS_PER_ENDPOINT);
    }
    int[] order =
        IntStream.range(0, n)
            .boxed()
            .sorted(Comparator.comparingLong(i -> hashes[i]))
            .mapToInt(Integer::intValue)
            .toArray();
    return new EndpointPool(
        members,
        Arrays.stream(order).mapToLong(i -> hashes[i]).toArray(),
        Arrays.stream(order).map(i -> i / POINTS_PER_ENDPOINT).toArray());
  }

  static long mix(long x) {
    long z = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  int size() {
    return members.length;
  }

  EndpointState member(int i) {
    return members[i];
  }

  /** Returns the place on the ring at which the search for a hash begins. */
  int place(long hash) {
    int at = Arrays.binarySearch(points, mix(hash));
    return at >= 0 ? at : (-at - 1) % points.length;
  }

  /** Returns the member that owns a place on the ring. */
  EndpointState owner(int place) {
    return members[owners[place % owners.length]];
  }
}
