package org.currantslip.core.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Endpoints that serve one model version or service, with a consistent-hash ring over them. */
final class EndpointPool {
  private static final int VIRTUAL_NODES_PER_ENDPOINT = 32;

  private final EndpointState[] members;
  private final long[] ringHashes;
  private final int[] ringOwners;

  private EndpointPool(EndpointState[] members, long[] ringHashes, int[] ringOwners) {
    this.members = members;
    this.ringHashes = ringHashes;
    this.ringOwners = ringOwners;
  }

  static EndpointPool of(List<EndpointState> states) {
    EndpointState[] members =
        states.stream()
            .sorted(Comparator.comparing((EndpointState s) -> s.endpoint().getId()))
            .toArray(EndpointState[]::new);
    int ringSize = members.length * VIRTUAL_NODES_PER_ENDPOINT;
    long[] hashes = new long[ringSize];
    for (int i = 0; i < ringSize; i++) {
      long seed = members[i / VIRTUAL_NODES_PER_ENDPOINT].endpoint().getId().hashCode();
      hashes[i] = mix(seed * 0x9E3779B97F4A7C15L + i % VIRTUAL_NODES_PER_ENDPOINT);
    }
    int[] order =
        IntStream.range(0, ringSize)
            .boxed()
            .sorted(Comparator.comparingLong(i -> hashes[i]))
            .mapToInt(Integer::intValue)
            .toArray();
    return new EndpointPool(
        members,
        Arrays.stream(order).mapToLong(i -> hashes[i]).toArray(),
        Arrays.stream(order).map(i -> i / VIRTUAL_NODES_PER_ENDPOINT).toArray());
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

  /** Returns the ring index at which the lookup of a hash starts. */
  int ringIndex(long hash) {
    int index = Arrays.binarySearch(ringHashes, mix(hash));
    return index >= 0 ? index : (-index - 1) % ringHashes.length;
  }

  /** Returns the member that owns a ring index; indexes wrap around. */
  EndpointState owner(int ringIndex) {
    return members[ringOwners[ringIndex % ringOwners.length]];
  }
}
