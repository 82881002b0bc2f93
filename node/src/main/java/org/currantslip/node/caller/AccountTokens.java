package org.currantslip.node.caller;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.currantslip.schema.AccountSettings;
import org.jspecify.annotations.Nullable;

/** Maps bearer tokens to client accounts; the lookup time does not depend on the token. */
public final class AccountTokens {
  private static final String SCHEME = "Bearer ";

  private record Entry(String account, byte[] digest) {}

  private final List<Entry> entries;

  private AccountTokens(List<Entry> entries) {
    this.entries = entries;
  }

  /** Creates the mapping from the configured accounts. */
  public static AccountTokens of(List<AccountSettings> accounts) {
    return new AccountTokens(
        accounts.stream().map(a -> new Entry(a.getName(), digest(a.getToken()))).toList());
  }

  /** Returns the account of this {@code Authorization} header; empty if the token is unknown. */
  public Optional<String> accountOf(@Nullable String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    byte[] digest = digest(authorization.substring(SCHEME.length()).trim());
    String account = "";
    for (Entry entry : entries) {
      if (MessageDigest.isEqual(entry.digest(), digest)) {
        account = entry.account();
      }
    }
    return account.isEmpty() ? Optional.empty() : Optional.of(account);
  }

  private static byte[] digest(String token) {
    return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
  }
}
