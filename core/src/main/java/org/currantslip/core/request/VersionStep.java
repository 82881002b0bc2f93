package org.currantslip.core.request;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rollout.VersionChoice;
import org.currantslip.core.rollout.VersionQuery;
import org.currantslip.core.rules.Rule;
import org.jspecify.annotations.Nullable;

/** Chooses the version of a model for one request, and keeps that of its session. */
final class VersionStep {
  private final RequestPorts ports;
  private final RouterRequest request;
  private final CallerAnswer answer;
  private @Nullable SessionVersions session;

  private VersionStep(RequestPorts ports, RouterRequest request, CallerAnswer answer) {
    this.ports = ports;
    this.request = request;
    this.answer = answer;
  }

  static VersionStep create(RequestPorts ports, RouterRequest request, CallerAnswer answer) {
    return new VersionStep(ports, request, answer);
  }

  /**
   * Reads the session's tokens.
   *
   * @throws RefusalException if a token is not one of this account's session
   */
  void readSession() {
    session = SessionVersions.read(ports.sessions(), request);
  }

  /** Returns the version to use, noted in the answer; fails with the refusal if there is none. */
  CompletableFuture<String> choose(ConfigView config, String model) {
    SessionVersions s = session();
    String kept = s.kept(model);
    try {
      VersionChoice choice = choice(config, model, kept);
      if (!s.isSession() || kept != null) {
        return CompletableFuture.completedFuture(use(config, model, choice));
      }
      return ports
          .homes()
          .keep(s.binding(model, choice.version()))
          .thenApply(home -> use(config, model, atHome(config, model, choice, home)));
    } catch (RefusalException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private VersionChoice atHome(
      ConfigView config, String model, VersionChoice proposal, String home) {
    return home.equals(proposal.version()) ? proposal : choice(config, model, home);
  }

  private VersionChoice choice(ConfigView config, String model, @Nullable String kept) {
    SessionVersions s = session();
    String spreadKey = s.isSession() ? s.session() : request.requestId();
    return ports
        .versions()
        .choose(
            config, new VersionQuery(request.account(), request.task(), model, spreadKey, kept));
  }

  private String use(ConfigView config, String model, VersionChoice choice) {
    SessionVersions s = session();
    s.bind(model, choice.version());
    answer.useVersion(model, choice.version(), choice.moved(), s.token());
    answer.addRuleLines(choice.ruleLines());
    answer.addRuleLines(
        Rule.lines(
            config.rules().tiers(request.account(), request.task()).stream()
                .filter(t -> t.model().equals(model))
                .toList()));
    return choice.version();
  }

  private SessionVersions session() {
    if (session == null) {
      throw new IllegalStateException("the session was not read");
    }
    return session;
  }
}
