package org.currantslip.core.session;

import java.util.Optional;

/** Binds sessions to model versions by means of signed tokens. */
public interface SessionTokens {
  /** Returns a token that binds a session of an account to a model version. */
  String issue(SessionBinding binding);

  /** Verifies and reads a token; empty if it is invalid or belongs to another account. */
  Optional<SessionBinding> verify(String account, String token);
}
