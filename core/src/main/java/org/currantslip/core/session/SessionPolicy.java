package org.currantslip.core.session;

import java.util.Optional;

/** Keeps a session on its model version by means of a signed token. */
public interface SessionPolicy {
  /** Returns a token that binds a session of an account to a model version. */
  String issue(SessionBinding binding);

  /** Reads a token; empty when its signature is wrong or it belongs to another account. */
  Optional<SessionBinding> verify(String account, String token);
}
