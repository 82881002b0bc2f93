package org.currantslip.bench.exposure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apache.commons.math3.distribution.BetaDistribution;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rollout.EvidenceVersionPolicy;
import org.currantslip.core.rollout.RolloutOptions;
import org.currantslip.core.rollout.VersionQuery;
import org.currantslip.schema.NodeId;

/** Counts how often the sequential test stops a good version within one stage. */
final class FalseStops {
  private static final String MODEL = "corridor";
  private static final String VERSION = "v2";
  private static final int GOSSIP_ROUNDS_PER_STAGE = 20;
  private static final int GOSSIP_FAN_OUT = 2;
  private static final long SEED_STRIDE = 1_000_003;
  private static final double CONFIDENCE_LEVEL = 0.95;

  private FalseStops() {}

  /** Returns in how many of {@code stages} a good version was stopped on at least one node. */
  static int count(int stages, boolean inService, int stageRequests, long seed) {
    ConfigView config = new ConfigView(1, ExposureRun.rules(inService));
    return (int)
        IntStream.range(0, stages)
            .parallel()
            .filter(
                i ->
                    isStoppedInStage(
                        config, stageRequests, new SplittableRandom(seed * SEED_STRIDE + i)))
            .count();
  }

  private static boolean isStoppedInStage(
      ConfigView config, int stageRequests, SplittableRandom random) {
    List<EvidenceVersionPolicy> nodes = new ArrayList<>();
    boolean[] stopped = new boolean[1];
    for (int i = 0; i < ExposureRun.NODES; i++) {
      NodeId id = NodeId.newBuilder().setName("n" + i).setIncarnation(1).build();
      EvidenceVersionPolicy node =
          EvidenceVersionPolicy.create(id, ManualClock.startingAt(0), RolloutOptions.defaults());
      node.setStopListener(notice -> stopped[0] = true);
      node.choose(config, new VersionQuery("a", "t", MODEL, "s", null));
      nodes.add(node);
    }
    for (int i = 0; i < stageRequests && !stopped[0]; i++) {
      serveRequest(nodes.get(random.nextInt(nodes.size())), random);
      if (i % (stageRequests / GOSSIP_ROUNDS_PER_STAGE) == 0) {
        gossipEvidence(nodes, random);
      }
    }
    return stopped[0];
  }

  private static void serveRequest(EvidenceVersionPolicy node, SplittableRandom random) {
    boolean failed = random.nextDouble() < Scenario.HEALTHY_ERROR_RATE;
    node.onDispatched(MODEL, VERSION);
    node.onFinished(MODEL, VERSION, failed);
    if (!failed) {
      node.onRated(MODEL, VERSION, random.nextDouble() >= Scenario.HEALTHY_BAD_RATE);
    }
  }

  private static void gossipEvidence(List<EvidenceVersionPolicy> nodes, SplittableRandom random) {
    for (EvidenceVersionPolicy from : nodes) {
      for (int i = 0; i < GOSSIP_FAN_OUT; i++) {
        nodes.get(random.nextInt(nodes.size())).onEvidence(from.evidence());
      }
    }
  }

  /** Returns the upper limit of the Clopper-Pearson confidence interval of a proportion. */
  static double upperBound(int successes, int trials) {
    if (successes >= trials) {
      return 1;
    }
    double tail = (1 - CONFIDENCE_LEVEL) / 2;
    return new BetaDistribution(successes + 1.0, trials - successes)
        .inverseCumulativeProbability(1 - tail);
  }
}
