package org.currantslip.bench.config;

import java.util.Random;
import org.currantslip.core.config.ConfigFleet;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.schema.PeerFrame;

/** The product's way: a few nodes of each failure domain watch, the others learn from peers. */
final class PeerFleet implements SpreadFleet {
  private static final int LOSS_PER_MILLE = 10;

  private final ConfigFleet fleet;
  private long peerBytes;

  private PeerFleet(ConfigFleet fleet) {
    this.fleet = fleet;
  }

  static PeerFleet create(int nodes, int domains, long seed) {
    PeerFleet peers = new PeerFleet(ConfigFleet.of(nodes, domains));
    Random random = new Random(seed);
    peers.fleet.network().setLossPlan((from, to, frame) -> peers.isLost(frame, random));
    return peers;
  }

  private boolean isLost(PeerFrame frame, Random random) {
    peerBytes += frame.getSerializedSize();
    return random.nextInt(1000) < LOSS_PER_MILLE;
  }

  @Override
  public FakeObjectStore store() {
    return fleet.store();
  }

  @Override
  public void apply(String node, long base, String rules) {
    var unused = fleet.apply(node, base, rules);
  }

  @Override
  public long reached(long version) {
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
  public void step() {
    fleet.run(1);
  }

  @Override
  public long peerBytes() {
    return peerBytes;
  }
}
