package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Immutable set of all rules of one accepted rules file; the first matching line wins. */
public final class RuleSet {
  private static final RuleSet EMPTY = new RuleSet(ImmutableList.of());

  private final ImmutableList<Rule> rules;

  private RuleSet(ImmutableList<Rule> rules) {
    this.rules = rules;
  }

  /** Returns an empty rule set, which allows nothing. */
  public static RuleSet empty() {
    return EMPTY;
  }

  /** Returns a rule set of the given rules, which must be in line order. */
  public static RuleSet of(List<? extends Rule> rules) {
    return new RuleSet(ImmutableList.copyOf(rules));
  }

  /** Returns all rules. */
  public ImmutableList<Rule> rules() {
    return rules;
  }

  /** Returns all rules of one kind. */
  public <T extends Rule> Stream<T> ofKind(Class<T> kind) {
    return rules.stream().filter(kind::isInstance).map(kind::cast);
  }

  /** Returns the rule that allows this use of a model version, if any. */
  public Optional<Rule.AllowModel> allowModelRule(
      String account, String task, String model, String version) {
    return ofKind(Rule.AllowModel.class)
        .filter(r -> Rule.matches(r.account(), account))
        .filter(r -> Rule.matches(r.task(), task))
        .filter(r -> Rule.matches(r.model(), model))
        .filter(r -> Rule.matches(r.version(), version))
        .findFirst();
  }

  /** Returns the rule that allows this use of a plain service, if any. */
  public Optional<Rule.AllowService> allowServiceRule(String account, String service) {
    return ofKind(Rule.AllowService.class)
        .filter(r -> Rule.matches(r.account(), account))
        .filter(r -> Rule.matches(r.service(), service))
        .findFirst();
  }

  /** Returns the rule that withdraws this version, if any. */
  public Optional<Rule.Withdraw> withdrawRule(String model, String version) {
    return ofKind(Rule.Withdraw.class)
        .filter(r -> r.model().equals(model) && Rule.matches(r.version(), version))
        .findFirst();
  }

  /** Returns the rule that requires this call to run at most once, if any. */
  public Optional<Rule.AtMostOnce> atMostOnceRule(
      String account, String service, String method, String path) {
    return ofKind(Rule.AtMostOnce.class)
        .filter(r -> Rule.matches(r.account(), account))
        .filter(r -> Rule.matches(r.service(), service))
        .filter(r -> Rule.matches(r.method(), method))
        .filter(r -> path.startsWith(r.pathPrefix()))
        .findFirst();
  }

  /** Returns the cascade of a task, cheapest tier first; empty if the task has none. */
  public List<Rule.Tier> tiers(String account, String task) {
    return ofKind(Rule.Tier.class)
        .filter(r -> Rule.matches(r.account(), account) && Rule.matches(r.task(), task))
        .sorted(Comparator.comparingInt(Rule.Tier::order))
        .toList();
  }

  /** Returns the version of a model in full service, if any. */
  public Optional<Rule.Serve> serveRule(String model) {
    return ofKind(Rule.Serve.class).filter(r -> r.model().equals(model)).findFirst();
  }

  /** Returns the rollout stages of a model version in ascending order. */
  public List<Rule.RolloutStage> stages(String model, String version) {
    return ofKind(Rule.RolloutStage.class)
        .filter(r -> r.model().equals(model) && r.version().equals(version))
        .sorted(Comparator.comparingInt(Rule.RolloutStage::stage))
        .toList();
  }

  /** Returns the rate limit of a client account, if any. */
  public Optional<Rule.Limit> limit(String account) {
    return ofKind(Rule.Limit.class).filter(r -> Rule.matches(r.account(), account)).findFirst();
  }

  /** Returns the quality target of a task, if any. */
  public Optional<Rule.QualityTarget> qualityTarget(String account, String task) {
    return ofKind(Rule.QualityTarget.class)
        .filter(r -> Rule.matches(r.account(), account) && Rule.matches(r.task(), task))
        .findFirst();
  }

  /** Returns the service-level objective of a task, if any. */
  public Optional<Rule.ServiceLevel> serviceLevel(String account, String task) {
    return ofKind(Rule.ServiceLevel.class)
        .filter(r -> Rule.matches(r.account(), account) && Rule.matches(r.task(), task))
        .findFirst();
  }

  /** Returns the price of a version, if any. */
  public Optional<Rule.Price> price(String model, String version) {
    return ofKind(Rule.Price.class)
        .filter(r -> r.model().equals(model) && Rule.matches(r.version(), version))
        .findFirst();
  }

  /** Returns whether a serve or rollout rule names this model. */
  public boolean knowsModel(String model) {
    return ofKind(Rule.Serve.class).anyMatch(r -> r.model().equals(model))
        || ofKind(Rule.RolloutStage.class).anyMatch(r -> r.model().equals(model));
  }
}
