package org.currantslip.core.request;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.session.SessionBinding;
import org.currantslip.core.session.SessionTokens;
import org.jspecify.annotations.Nullable;

/** Model versions to which a session is bound, one per model, as carried by its tokens. */
final class SessionVersions {
  private static final char SEPARATOR = ',';
  private static final Splitter TOKEN_SPLITTER =
      Splitter.on(SEPARATOR).trimResults().omitEmptyStrings().limit(16);

  private final SessionTokens sessionTokens;
  private final String account;
  private final String session;
  private final Map<String, String> versions = new TreeMap<>();

  private SessionVersions(SessionTokens sessionTokens, String account, String session) {
    this.sessionTokens = sessionTokens;
    this.account = account;
    this.session = session;
  }

  /**
   * Verifies and reads the session tokens of a request.
   *
   * @throws RefusalException if a token does not belong to this account and session
   */
  static SessionVersions read(SessionTokens sessionTokens, RouterRequest r) {
    List<SessionBinding> bindings =
        TOKEN_SPLITTER
            .splitToStream(r.sessionToken())
            .map(t -> verify(sessionTokens, r, t))
            .toList();
    String session =
        r.session().isEmpty() && !bindings.isEmpty() ? bindings.get(0).session() : r.session();
    SessionVersions v = new SessionVersions(sessionTokens, r.account(), session);
    bindings.forEach(b -> v.versions.put(b.model(), b.version()));
    return v;
  }

  private static SessionBinding verify(SessionTokens sessionTokens, RouterRequest r, String token) {
    return sessionTokens
        .verify(r.account(), token)
        .filter(b -> r.session().isEmpty() || b.session().equals(r.session()))
        .orElseThrow(
            () ->
                RefusalException.notRun(
                    ResultCode.SESSION_TOKEN_INVALID,
                    "the session token does not belong to this session"));
  }

  boolean hasSession() {
    return !session.isEmpty();
  }

  String session() {
    return session;
  }

  /** Returns the version to which a token binds this model, or null. */
  @Nullable String boundVersion(String model) {
    return versions.get(model);
  }

  void bind(String model, String version) {
    versions.put(model, version);
  }

  SessionBinding binding(String model, String version) {
    return new SessionBinding(account, session, model, version);
  }

  /** Returns the tokens to send to the caller, or an empty string if there is no session. */
  String encodedTokens() {
    if (!hasSession()) {
      return "";
    }
    return versions.entrySet().stream()
        .map(e -> sessionTokens.issue(binding(e.getKey(), e.getValue())))
        .collect(Collectors.joining(String.valueOf(SEPARATOR)));
  }
}
