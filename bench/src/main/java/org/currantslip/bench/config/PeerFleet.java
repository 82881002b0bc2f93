package org.currantslip.bench.config;

import java.util.Random;
import org.currantslip.core.config.ConfigFleet;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.schema.PeerFrame;

/**
 * A fleet that propagates changes as deployed nodes do: a few nodes of each failure domain watch
 * the store, the others learn of changes from peers. Peer frames are lost at a fixed rate.
 */
final class PeerFleet implements SimulatedFleet {
  private static final int FRAME_LOSS_PER_MILLE = 10;

  private final ConfigFleet fleet;
  private long peerBytes;

  private PeerFleet(ConfigFleet fleet) {
    this.fleet = fleet;
  }

  static PeerFleet create(int nodes, int domains, long seed) {
    PeerFleet peerFleet = new PeerFleet(ConfigFleet.of(nodes, domains));
    Random random = new Random(seed);
    peerFleet
        .fleet
        .network()
        .setLossPlan((from, to, frame) -> peerFleet.countAndDrop(frame, random));
    return peerFleet;
  }

  /** Counts the bytes of a frame and returns whether the network loses it. */
  private boolean countAndDrop(PeerFrame frame, Random random) {
    peerBytes += frame.getSerializedSize();
    return random.nextInt(1000) < FRAME_LOSS_PER_MILLE;
  }

  @Override
  public FakeObjectStore store() {
    return fleet.store();
  }

  @Override
  public void apply(String node, long baseVersion, String rules) {
    var unused = fleet.apply(node, baseVersion, rules);
  }

  @Override
  public long countAtVersion(long version) {
    return fleet.reached(version);
  }

  @Override
  public void freeze(String node) {
    fleet.freeze(node);
  }

  @Override
  public void thaw(String node) {
    fleet.thaw(node);
  }

  @Override
  public void setSuspected(String node, boolean suspected) {
    fleet.setSuspected(node, suspected);
  }

  @Override
  public void advanceOneMs() {
    fleet.run(1);
  }

  @Override
  public long peerBytes() {
    return peerBytes;
  }
}
