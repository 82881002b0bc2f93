package org.currantslip.node.admin;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.currantslip.schema.OperatorSettings;
import org.jspecify.annotations.Nullable;

/** Operators and the hashes of their tokens. */
public final class OperatorTokens {
  private static final String SCHEME = "Bearer ";

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
            .map(o -> new Entry(o.getName(), hash(o.getToken())))
            .collect(ImmutableList.toImmutableList()));
  }

  /** Returns the operator whose token stands in an Authorization header. */
  public Optional<String> operator(@Nullable String authorization) {
    byte[] hash = hash(bearerToken(authorization == null ? "" : authorization));
    Optional<String> found = Optional.empty();
    for (Entry entry : entries) {
      // All entries are compared, so that the time tells nothing about which one is close.
      if (MessageDigest.isEqual(entry.hash(), hash)) {
        found = Optional.of(entry.name());
      }
    }
    return found;
  }

  private static String bearerToken(String authorization) {
    return authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
        ? authorization.substring(SCHEME.length()).strip()
        : "";
  }

  private static byte[] hash(String token) {
    return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
  }
}
