package org.currantslip.standin.engine;

import java.util.Map;

/**
 * What a model engine is.
 *
 * @param id endpoint id
 * @param model model name
 * @param version version that is loaded at the start
 * @param slots requests served together
 * @param loadLagMs age of the load reports and cache events it shows
 * @param loadMs time that loading a version takes
 * @param checksFencing whether orders with an old fencing number are refused
 * @param cachedPrefixes prompt prefixes that fit into its cache
 * @param eventGap every how many cache events one is lost; zero loses none
 * @param seed seed of speed and quality
 * @param profiles behaviour of versions that differ from what the seed gives
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
  /** Returns the behaviour of a version. */
  VersionProfile profile(String name) {
    VersionProfile profile = profiles.get(name);
    return profile == null ? VersionProfile.seeded(seed, model, name) : profile;
  }
}
