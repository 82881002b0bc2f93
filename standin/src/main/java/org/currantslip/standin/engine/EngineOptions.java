package org.currantslip.standin.engine;

import java.util.Map;

/**
 * Settings of a model engine.
 *
 * @param id endpoint id
 * @param model model name
 * @param version version that is loaded at startup
 * @param slots maximum number of requests in the batch
 * @param loadLagMs delay after which load reports and cache events become visible
 * @param loadMs time to load a version
 * @param checksFencing whether orders with an outdated fencing number are refused
 * @param cachedPrefixes number of prompt prefixes that the prefix cache holds
 * @param eventGap interval at which a cache event is dropped; zero drops none
 * @param seed seed of the random speed, answers and errors
 * @param profiles profiles of versions that override the seeded ones
 */
public record EngineOptions(
    String id,
    String model,
    String version,
    int slots,
    long loadLagMs,
    long loadMs,
    boolean checksFencing,
    int cachedPrefixes,
    int eventGap,
    long seed,
    Map<String, VersionProfile> profiles) {
  /** Returns the profile of a version, seeded unless overridden. */
  VersionProfile profile(String name) {
    VersionProfile profile = profiles.get(name);
    return profile == null ? VersionProfile.seeded(seed, model, name) : profile;
  }
}
