package org.currantslip.node.admin;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.currantslip.schema.OperatorSettings;
import org.jspecify.annotations.Nullable;

/** The operators and the SHA-256 hashes of their bearer tokens. */
public final class OperatorTokens {
  private static final String BEARER_SCHEME = "Bearer ";

  private final ImmutableList<Entry> entries;

  private OperatorTokens(ImmutableList<Entry> entries) {
    this.entries = entries;
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record Entry(String name, byte[] hash) {}

  /** Returns the tokens of these operators. */
  public static OperatorTokens of(List<OperatorSettings> operators) {
    return new OperatorTokens(
        operators.stream()
            .map(settings -> new Entry(settings.getName(), hash(settings.getToken())))
            .collect(ImmutableList.toImmutableList()));
  }

  /** Returns the operator whose bearer token an {@code Authorization} header carries. */
  public Optional<String> operator(@Nullable String authorization) {
    byte[] hash = hash(bearerToken(authorization == null ? "" : authorization));
    Optional<String> match = Optional.empty();
    for (Entry entry : entries) {
      // Every entry is compared in constant time, so timing does not reveal which one matches.
      if (MessageDigest.isEqual(entry.hash(), hash)) {
        match = Optional.of(entry.name());
      }
    }
    return match;
  }

  private static String bearerToken(String authorization) {
    return authorization.regionMatches(true, 0, BEARER_SCHEME, 0, BEARER_SCHEME.length())
        ? authorization.substring(BEARER_SCHEME.length()).strip()
        : "";
  }

  private static byte[] hash(String token) {
    return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
  }
}
