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

/** Version rules of one configuration, with cached lookups. */
final class VersionRules {
  private static final int MAX_ALLOW_ENTRIES = 8192;

  private record AccessKey(String account, String task, String model, String version) {}

  private final ConfigView config;
  private final Map<String, List<Rule.Serve>> serveRules = new HashMap<>();
  private final Map<String, List<VersionKey>> rolloutVersions = new HashMap<>();
  private final Map<VersionKey, List<Rule.RolloutStage>> stages = new HashMap<>();
  private final Map<VersionKey, Long> resumeHashes = new HashMap<>();
  private final Map<VersionKey, Boolean> withdrawnCache = new HashMap<>();
  private final Map<AccessKey, Optional<Rule.AllowModel>> allowRules = new HashMap<>();

  VersionRules(ConfigView config) {
    this.config = config;
    config
        .rules()
        .ofKind(Rule.ResumeRollout.class)
        .forEach(r -> resumeHashes.put(new VersionKey(r.model(), r.version()), hash(r)));
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

  /** Returns the rules for versions in full service, preferred first. */
  List<Rule.Serve> serveRules(String model) {
    return serveRules.computeIfAbsent(
        model, m -> rules().ofKind(Rule.Serve.class).filter(r -> r.model().equals(m)).toList());
  }

  /** Returns the versions of a model that have rollout stages. */
  List<VersionKey> rolloutVersions(String model) {
    return rolloutVersions.computeIfAbsent(model, this::findRolloutVersions);
  }

  private List<VersionKey> findRolloutVersions(String model) {
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

  boolean isWithdrawn(VersionKey key) {
    return withdrawnCache.computeIfAbsent(
        key, k -> rules().withdrawRule(k.model(), k.version()).isPresent());
  }

  Optional<Rule.AllowModel> allowRule(VersionQuery query, VersionKey key) {
    if (allowRules.size() > MAX_ALLOW_ENTRIES) {
      allowRules.clear();
    }
    return allowRules.computeIfAbsent(
        new AccessKey(query.account(), query.task(), key.model(), key.version()),
        u -> rules().allowModelRule(u.account(), u.task(), u.model(), u.version()));
  }

  /** Returns the hash of the resume rule of a version; zero if there is none. */
  long resumeHash(VersionKey key) {
    return resumeHashes.getOrDefault(key, 0L);
  }

  boolean isConfigured(VersionKey key) {
    return !stages(key).isEmpty()
        || serveRules(key.model()).stream().anyMatch(r -> r.version().equals(key.version()));
  }
}
