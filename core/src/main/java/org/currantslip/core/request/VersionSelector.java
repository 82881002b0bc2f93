package org.currantslip.core.request;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rollout.VersionChoice;
import org.currantslip.core.rollout.VersionQuery;
import org.currantslip.core.rules.Rule;
import org.jspecify.annotations.Nullable;

/** Selects the model version for a request, honouring the version bound to its session. */
final class VersionSelector {
  private final RequestPorts ports;
  private final RouterRequest request;
  private final CallerResponse response;
  private @Nullable SessionVersions session;

  private VersionSelector(RequestPorts ports, RouterRequest request, CallerResponse response) {
    this.ports = ports;
    this.request = request;
    this.response = response;
  }

  static VersionSelector create(
      RequestPorts ports, RouterRequest request, CallerResponse response) {
    return new VersionSelector(ports, request, response);
  }

  /**
   * Reads the session tokens of the request.
   *
   * @throws RefusalException if a token does not belong to this account and session
   */
  void readSession() {
    session = SessionVersions.read(ports.sessions(), request);
  }

  /**
   * Returns the version to use and sets it in the response; fails with a refusal if there is none.
   */
  CompletableFuture<String> choose(ConfigView config, String model) {
    SessionVersions s = session();
    String boundVersion = s.boundVersion(model);
    try {
      VersionChoice choice = select(config, model, boundVersion);
      if (!s.hasSession() || boundVersion != null) {
        return CompletableFuture.completedFuture(apply(config, model, choice));
      }
      return ports
          .sessionBindings()
          .bind(s.binding(model, choice.version()))
          .thenApply(
              homeVersion ->
                  apply(config, model, reconcileWithHome(config, model, choice, homeVersion)));
    } catch (RefusalException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private VersionChoice reconcileWithHome(
      ConfigView config, String model, VersionChoice proposal, String homeVersion) {
    return homeVersion.equals(proposal.version()) ? proposal : select(config, model, homeVersion);
  }

  private VersionChoice select(ConfigView config, String model, @Nullable String boundVersion) {
    SessionVersions s = session();
    String hashKey = s.hasSession() ? s.session() : request.requestId();
    return ports
        .versions()
        .choose(
            config,
            new VersionQuery(request.account(), request.task(), model, hashKey, boundVersion));
  }

  private String apply(ConfigView config, String model, VersionChoice choice) {
    SessionVersions s = session();
    s.bind(model, choice.version());
    response.setModelVersion(model, choice.version(), choice.sessionMoved(), s.encodedTokens());
    response.addRuleLines(choice.ruleLines());
    response.addRuleLines(
        Rule.lines(
            config.rules().tiers(request.account(), request.task()).stream()
                .filter(t -> t.model().equals(model))
                .toList()));
    return choice.version();
  }

  private SessionVersions session() {
    if (session == null) {
      throw new IllegalStateException("the session has not been read");
    }
    return session;
  }
}
