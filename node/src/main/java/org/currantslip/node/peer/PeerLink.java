package org.currantslip.node.peer;

import io.netty.channel.Channel;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** An authenticated link to another node. */
final class PeerLink {
  private final Channel channel;
  private final NodeRecord peer;
  private final boolean initiatedLocally;
  private final long openedMs;

  private PeerLink(Channel channel, NodeRecord peer, boolean initiatedLocally, long openedMs) {
    this.channel = channel;
    this.peer = peer;
    this.initiatedLocally = initiatedLocally;
    this.openedMs = openedMs;
  }

  static PeerLink of(Channel channel, NodeRecord peer, boolean initiatedLocally, long openedMs) {
    return new PeerLink(channel, peer, initiatedLocally, openedMs);
  }

  String name() {
    return peer.getId().getName();
  }

  NodeRecord peer() {
    return peer;
  }

  long openedMs() {
    return openedMs;
  }

  /** Returns the name of the node that opened the link; {@code self} is this node's name. */
  String initiator(String self) {
    return initiatedLocally ? self : name();
  }

  boolean isOpen() {
    return channel.isActive();
  }

  /** Sends a frame; returns false if the link is closed or its send buffer is full. */
  boolean send(PeerFrame frame) {
    if (!channel.isActive() || !channel.isWritable()) {
      return false;
    }
    channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }

  void close() {
    channel.close();
  }
}
