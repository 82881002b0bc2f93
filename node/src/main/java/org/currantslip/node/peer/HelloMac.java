package org.currantslip.node.peer;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.currantslip.schema.NodeRecord;

/** Computes and verifies the HMAC with which a hello proves knowledge of the peer secret. */
final class HelloMac {
  private final byte[] secret;

  private HelloMac(byte[] secret) {
    this.secret = secret;
  }

  static HelloMac of(String secret) {
    return new HelloMac(secret.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the MAC of one side's hello.
   *
   * @param initiator whether the signer opened the connection; keeps one side's MAC from being
   *     accepted as the other's
   */
  ByteString sign(boolean initiator, long initiatorNonce, long responderNonce, NodeRecord node) {
    Hasher hasher = Hashing.hmacSha256(secret).newHasher();
    hasher.putBoolean(initiator).putLong(initiatorNonce).putLong(responderNonce);
    hasher.putBytes(node.toByteArray());
    return ByteString.copyFrom(hasher.hash().asBytes());
  }

  boolean verify(
      ByteString mac,
      boolean initiator,
      long initiatorNonce,
      long responderNonce,
      NodeRecord node) {
    byte[] expected = sign(initiator, initiatorNonce, responderNonce, node).toByteArray();
    return MessageDigest.isEqual(expected, mac.toByteArray());
  }
}
