package org.currantslip.node.peer;

import java.util.List;
import org.currantslip.schema.Hello;
import org.currantslip.schema.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * State machine for the mutual authentication of one link. Performs no I/O.
 *
 * <p>The initiator sends its nonce, the responder replies with its own nonce and MAC, and the
 * initiator finishes with its MAC. Each MAC covers both nonces, so a replayed hello is rejected.
 */
final class Handshake {
  private final boolean initiator;
  private final NodeRecord self;
  private final HelloMac mac;
  private final long nonce;
  private long peerNonce;
  private @Nullable NodeRecord peer;
  private boolean authenticated;

  private Handshake(boolean initiator, NodeRecord self, HelloMac mac, long nonce) {
    this.initiator = initiator;
    this.self = self;
    this.mac = mac;
    this.nonce = nonce;
  }

  static Handshake forInitiator(NodeRecord self, HelloMac mac, long nonce) {
    return new Handshake(true, self, mac, nonce);
  }

  static Handshake forResponder(NodeRecord self, HelloMac mac, long nonce) {
    return new Handshake(false, self, mac, nonce);
  }

  /** Returns the hellos to send once the connection is established. */
  List<Hello> initialHellos() {
    return initiator ? List.of(hello().build()) : List.of();
  }

  /**
   * Processes a hello from the peer and returns the hellos to send in reply.
   *
   * @throws HandshakeException if the hello is out of sequence or its MAC is wrong
   */
  List<Hello> onHello(Hello hello) {
    if (authenticated) {
      throw HandshakeException.of("hello after the handshake");
    }
    if (hello.getNode().getId().getName().isEmpty()) {
      throw HandshakeException.of("hello without a node name");
    }
    if (initiator) {
      peerNonce = hello.getNonce();
      verify(hello);
      return List.of(hello().setMac(mac.sign(true, nonce, peerNonce, self)).build());
    }
    if (peer == null) {
      peer = hello.getNode();
      peerNonce = hello.getNonce();
      return List.of(hello().setMac(mac.sign(false, peerNonce, nonce, self)).build());
    }
    if (hello.getNonce() != peerNonce) {
      throw HandshakeException.of("nonce changed during the handshake");
    }
    verify(hello);
    return List.of();
  }

  private void verify(Hello hello) {
    long initiatorNonce = initiator ? nonce : peerNonce;
    long responderNonce = initiator ? peerNonce : nonce;
    if (!mac.verify(hello.getMac(), !initiator, initiatorNonce, responderNonce, hello.getNode())) {
      throw HandshakeException.of("MAC verification failed: wrong peer secret");
    }
    peer = hello.getNode();
    authenticated = true;
  }

  private Hello.Builder hello() {
    return Hello.newBuilder().setNode(self).setNonce(nonce);
  }

  /** Returns the peer, or null until it is authenticated. */
  @Nullable NodeRecord peer() {
    return authenticated ? peer : null;
  }
}
