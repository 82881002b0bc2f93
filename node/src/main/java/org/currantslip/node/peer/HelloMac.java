package org.currantslip.node.peer;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.currantslip.schema.NodeRecord;

/** Proves knowledge of the peer secret over the nonces of both sides. */
final class HelloMac {
  private final byte[] secret;

  private HelloMac(byte[] secret) {
    this.secret = secret;
  }

  static HelloMac of(String secret) {
    return new HelloMac(secret.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the code of one side; {@code opener} tells the sides apart. */
  ByteString sign(boolean opener, long openerNonce, long accepterNonce, NodeRecord node) {
    Hasher hasher = Hashing.hmacSha256(secret).newHasher();
    hasher.putBoolean(opener).putLong(openerNonce).putLong(accepterNonce);
    hasher.putBytes(node.toByteArray());
    return ByteString.copyFrom(hasher.hash().asBytes());
  }

  boolean verify(
      ByteString mac, boolean opener, long openerNonce, long accepterNonce, NodeRecord node) {
    byte[] expected = sign(opener, openerNonce, accepterNonce, node).toByteArray();
    return MessageDigest.isEqual(expected, mac.toByteArray());
  }
}
