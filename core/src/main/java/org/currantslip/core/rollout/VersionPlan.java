package org.currantslip.core.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;

/** The rules of one configuration about versions, looked up once and kept. */
final class VersionPlan {
  private static final int MAX_ALLOW_ENTRIES = 8192;

  private record Use(String account, String task, String model, String version) {}

  private final ConfigView config;
  private final Map<String, List<Rule.Serve>> serves = new HashMap<>();
  private final Map<String, List<VersionKey>> rollouts = new HashMap<>();
  private final Map<VersionKey, List<Rule.RolloutStage>> stages = new HashMap<>();
  private final Map<VersionKey, Long> resumes = new HashMap<>();
  private final Map<VersionKey, Boolean> withdrawn = new HashMap<>();
  private final Map<Use, Optional<Rule.AllowModel>> allows = new HashMap<>();

  VersionPlan(ConfigView config) {
    this.config = config;
    config
        .rules()
        .ofKind(Rule.ResumeRollout.class)
        .forEach(r -> resumes.put(new VersionKey(r.model(), r.version()), hash(r)));
  }

  private static long hash(Rule.ResumeRollout rule) {
    long hash =
        Hashing.sipHash24().hashString(rule.origin().text(), StandardCharsets.UTF_8).asLong();
    return hash == 0 ? 1 : hash;
  }

  ConfigView config() {
    return config;
  }

  private RuleSet rules() {
    return config.rules();
  }

  /** Returns the versions in full service, preferred one first. */
  List<Rule.Serve> serves(String model) {
    return serves.computeIfAbsent(
        model, m -> rules().ofKind(Rule.Serve.class).filter(r -> r.model().equals(m)).toList());
  }

  /** Returns the versions of a model that have roll-out stages. */
  List<VersionKey> rollouts(String model) {
    return rollouts.computeIfAbsent(model, this::findRollouts);
  }

  private List<VersionKey> findRollouts(String model) {
    Set<VersionKey> found = new LinkedHashSet<>();
    rules()
        .ofKind(Rule.RolloutStage.class)
        .filter(r -> r.model().equals(model))
        .forEach(r -> found.add(new VersionKey(r.model(), r.version())));
    return List.copyOf(found);
  }

  List<Rule.RolloutStage> stages(VersionKey key) {
    return stages.computeIfAbsent(key, k -> rules().stages(k.model(), k.version()));
  }

  boolean withdrawn(VersionKey key) {
    return withdrawn.computeIfAbsent(
        key, k -> rules().withdrawn(k.model(), k.version()).isPresent());
  }

  Optional<Rule.AllowModel> allow(VersionQuery query, VersionKey key) {
    if (allows.size() > MAX_ALLOW_ENTRIES) {
      allows.clear();
    }
    return allows.computeIfAbsent(
        new Use(query.account(), query.task(), key.model(), key.version()),
        u -> rules().allows(u.account(), u.task(), u.model(), u.version()));
  }

  /** Returns the hash of the resume rule of a version, zero without one. */
  long resumeHash(VersionKey key) {
    return resumes.getOrDefault(key, 0L);
  }

  boolean names(VersionKey key) {
    return !stages(key).isEmpty()
        || serves(key.model()).stream().anyMatch(r -> r.version().equals(key.version()));
  }
}
