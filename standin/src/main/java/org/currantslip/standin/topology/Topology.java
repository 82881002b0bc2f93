package org.currantslip.standin.topology;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The stand-ins of one deployment, read from a TOML file.
 *
 * @param host address to listen on
 * @param region region of every endpoint
 * @param seed seed of the random speed, quality and faults
 * @param objectApi object API, or null to leave it out
 * @param vmList VM list, or null to leave it out
 * @param weightStore weight store, or null to leave it out
 * @param ratingService rating service, or null to leave it out
 * @param engines model engines
 * @param services services without a model
 * @param profiles profiles of versions that override the seeded ones
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record Topology(
    String host,
    String region,
    long seed,
    @Nullable ObjectApiSettings objectApi,
    @Nullable VmListSettings vmList,
    @Nullable WeightStoreSettings weightStore,
    @Nullable RatingSettings ratingService,
    @JsonProperty("engine") @Nullable List<EngineSettings> engines,
    @JsonProperty("service") @Nullable List<ServiceSettings> services,
    @JsonProperty("profile") @Nullable List<ProfileSettings> profiles) {

  /** Port and rate limits of the object API. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record ObjectApiSettings(int port, double readsPerS, double writesPerS) {}

  /** Port and lag of the VM list. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record VmListSettings(int port, long lagMs) {}

  /** Port, rate limit and transfer time of the weight store. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record WeightStoreSettings(int port, double fetchesPerS, long transferMs) {}

  /** Port and lag of the rating service. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record RatingSettings(int port, long lagMs) {}

  /** Settings of a model engine. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record EngineSettings(
      String id,
      int port,
      String failureDomain,
      String model,
      String version,
      int slots,
      long loadLagMs,
      long loadMs,
      boolean checksFencing,
      int cachedPrefixes,
      int eventGap) {}

  /** Settings of a service. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record ServiceSettings(String id, int port, String failureDomain, String service) {}

  /** Profile of one model version. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record ProfileSettings(
      String model,
      String version,
      long tokenMs,
      long prefillMs,
      int tokens,
      double quality,
      double errorShare) {}

  /** Reads a topology; an unknown key is refused. */
  public static Topology read(Path file) {
    try {
      return new TomlMapper().readValue(file.toFile(), Topology.class);
    } catch (IOException e) {
      throw RefusalException.notRun(ResultCode.SETTINGS_UNREADABLE, file + ": " + e.getMessage());
    }
  }

  /** Returns the list, or an empty one if it is absent in the file. */
  static <T> List<T> orEmpty(@Nullable List<T> list) {
    return list == null ? List.of() : list;
  }
}
