package org.currantslip.node.peer;

import java.util.List;
import org.currantslip.schema.Hello;
import org.currantslip.schema.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Mutual authentication of one link, as a state machine without I/O.
 *
 * <p>The opener sends its nonce, the accepter answers with its own nonce and code, and the opener
 * ends with its code. Codes cover both nonces, so an old hello proves nothing.
 */
final class Handshake {
  private final boolean opener;
  private final NodeRecord self;
  private final HelloMac mac;
  private final long nonce;
  private long peerNonce;
  private @Nullable NodeRecord peer;
  private boolean done;

  private Handshake(boolean opener, NodeRecord self, HelloMac mac, long nonce) {
    this.opener = opener;
    this.self = self;
    this.mac = mac;
    this.nonce = nonce;
  }

  static Handshake opening(NodeRecord self, HelloMac mac, long nonce) {
    return new Handshake(true, self, mac, nonce);
  }

  static Handshake accepting(NodeRecord self, HelloMac mac, long nonce) {
    return new Handshake(false, self, mac, nonce);
  }

  /** Returns what to send as soon as the connection stands. */
  List<Hello> begin() {
    return opener ? List.of(hello().build()) : List.of();
  }

  /**
   * Takes a hello and returns what to send.
   *
   * @throws HandshakeException if the other side does not know the secret
   */
  List<Hello> on(Hello hello) {
    if (done) {
      throw HandshakeException.of("hello on an open link");
    }
    if (hello.getNode().getId().getName().isEmpty()) {
      throw HandshakeException.of("hello without a node name");
    }
    if (opener) {
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
      throw HandshakeException.of("the nonce changed");
    }
    verify(hello);
    return List.of();
  }

  private void verify(Hello hello) {
    long openerNonce = opener ? nonce : peerNonce;
    long accepterNonce = opener ? peerNonce : nonce;
    if (!mac.verify(hello.getMac(), !opener, openerNonce, accepterNonce, hello.getNode())) {
      throw HandshakeException.of("wrong peer secret");
    }
    peer = hello.getNode();
    done = true;
  }

  private Hello.Builder hello() {
    return Hello.newBuilder().setNode(self).setNonce(nonce);
  }

  /** Returns the authenticated peer, or null before that. */
  @Nullable NodeRecord peer() {
    return done ? peer : null;
  }
}
