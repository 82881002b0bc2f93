package org.currantslip.core.session;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Session tokens signed with HMAC-SHA256, which any node can verify without shared state. */
public final class HmacSessionTokens implements SessionTokens {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int MAC_BYTES = 32;
  private static final int MIN_SECRET_BYTES = 16;
  private static final int MAX_TOKEN_CHARS = 4096;
  private static final byte TOKEN_FORMAT = 1;

  private final Mac mac;

  private HmacSessionTokens(Mac mac) {
    this.mac = mac;
  }

  /** Returns a policy that signs with {@code secret}, which must be the same on all nodes. */
  public static HmacSessionTokens create(byte[] secret) {
    checkArgument(secret.length >= MIN_SECRET_BYTES, "session secret is too short");
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      return new HmacSessionTokens(mac);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is not available", e);
    }
  }

  @Override
  public String issue(SessionBinding binding) {
    ByteArrayDataOutput out = ByteStreams.newDataOutput();
    out.writeByte(TOKEN_FORMAT);
    out.writeUTF(binding.account());
    out.writeUTF(binding.session());
    out.writeUTF(binding.model());
    out.writeUTF(binding.version());
    byte[] body = out.toByteArray();
    byte[] token = Arrays.copyOf(body, body.length + MAC_BYTES);
    System.arraycopy(mac.doFinal(body), 0, token, body.length, MAC_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(token);
  }

  @Override
  public Optional<SessionBinding> verify(String account, String token) {
    if (token.length() > MAX_TOKEN_CHARS) {
      return Optional.empty();
    }
    try {
      return decode(Base64.getUrlDecoder().decode(token)).filter(b -> b.account().equals(account));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private Optional<SessionBinding> decode(byte[] token) {
    if (token.length <= MAC_BYTES) {
      return Optional.empty();
    }
    byte[] body = Arrays.copyOf(token, token.length - MAC_BYTES);
    byte[] receivedMac = Arrays.copyOfRange(token, body.length, token.length);
    if (!MessageDigest.isEqual(receivedMac, mac.doFinal(body)) || body[0] != TOKEN_FORMAT) {
      return Optional.empty();
    }
    ByteArrayDataInput in = ByteStreams.newDataInput(body, 1);
    return Optional.of(new SessionBinding(in.readUTF(), in.readUTF(), in.readUTF(), in.readUTF()));
  }
}
