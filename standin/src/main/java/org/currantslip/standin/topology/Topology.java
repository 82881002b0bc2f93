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
 * @param seed seed of speed, quality and faults
 * @param objectApi the object API
 * @param vmList the VM list
 * @param weightStore the weight store
 * @param ratingService the rating service
 * @param engines model engines
 * @param services plain services
 * @param profiles behaviour of versions that differ from what the seed gives
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record Topology(
    String host,
    String region,
    long seed,
    @Nullable ObjectApiPart objectApi,
    @Nullable VmListPart vmList,
    @Nullable WeightStorePart weightStore,
    @Nullable RatingPart ratingService,
    @JsonProperty("engine") @Nullable List<EnginePart> engines,
    @JsonProperty("service") @Nullable List<ServicePart> services,
    @JsonProperty("profile") @Nullable List<ProfilePart> profiles) {

  /** Port and rates of the object API. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record ObjectApiPart(int port, double readsPerS, double writesPerS) {}

  /** Port and lag of the VM list. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record VmListPart(int port, long lagMs) {}

  /** Port and rate of the weight store. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record WeightStorePart(int port, double fetchesPerS, long transferMs) {}

  /** Port and lag of the rating service. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record RatingPart(int port, long lagMs) {}

  /** A model engine. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record EnginePart(
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

  /** A plain service. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record ServicePart(String id, int port, String failureDomain, String service) {}

  /** Behaviour of one version. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record ProfilePart(
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

  /** Returns a list that may be absent in the file. */
  static <T> List<T> orEmpty(@Nullable List<T> list) {
    return list == null ? List.of() : list;
  }
}
