package org.currantslip.standin.demo;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/**
 * What runs and what to ask of it, read from a TOML file.
 *
 * @param nodes names, caller addresses and process ids of the nodes
 * @param apps addresses of the plain service's stand-ins
 * @param account client account that sends the requests
 * @param token its bearer token
 * @param otherToken token of an account that may not use the large model
 * @param task task with a cascade
 * @param largeModel model that the other account may not use
 * @param service plain service
 * @param oncePath path whose calls run at most once
 * @param readPath path of an idempotent read
 * @param prompt what is asked of the models
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record DemoPlan(
    List<NodeProcess> nodes,
    List<String> apps,
    String account,
    String token,
    String otherToken,
    String task,
    String largeModel,
    String service,
    String oncePath,
    String readPath,
    String prompt) {
  /** A running node. */
  public record NodeProcess(String name, String address, long pid) {
    /** Returns its process. */
    ProcessHandle process() {
      return ProcessHandle.of(pid).orElseThrow();
    }
  }

  /** Reads a plan. */
  public static DemoPlan read(Path file) {
    try {
      return new TomlMapper().readValue(file.toFile(), DemoPlan.class);
    } catch (IOException e) {
      throw RefusalException.notRun(ResultCode.SETTINGS_UNREADABLE, file + ": " + e.getMessage());
    }
  }
}
