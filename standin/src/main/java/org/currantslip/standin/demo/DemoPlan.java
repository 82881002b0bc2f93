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
 * The running processes and the requests to send to them, read from a TOML file.
 *
 * @param nodes names, caller addresses and process ids of the nodes
 * @param apps addresses of the service stand-ins
 * @param account client account that sends the requests
 * @param token bearer token of the account
 * @param otherToken bearer token of another client account, which may not use the large model
 * @param task task that is served by a cascade
 * @param largeModel model that the other client account may not use
 * @param service name of the service
 * @param oncePath path whose calls are executed at most once
 * @param readPath path of an idempotent read
 * @param prompt prompt sent to the models
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
  /** A running node with its caller address and process id. */
  public record NodeProcess(String name, String address, long pid) {
    /** Returns the handle of the process. */
    ProcessHandle process() {
      return ProcessHandle.of(pid).orElseThrow();
    }
  }

  /** Reads a plan from a TOML file. */
  public static DemoPlan read(Path file) {
    try {
      return new TomlMapper().readValue(file.toFile(), DemoPlan.class);
    } catch (IOException e) {
      throw RefusalException.notRun(ResultCode.SETTINGS_UNREADABLE, file + ": " + e.getMessage());
    }
  }
}
