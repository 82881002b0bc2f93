package org.currantslip.standin.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.caller.CallerClient;
import org.currantslip.standin.http.Json;

/** Run counters and fault switches of the plain service's stand-ins. */
final class AppRuns {
  private final CallerClient client;
  private final List<String> apps;

  private AppRuns(CallerClient client, List<String> apps) {
    this.client = client;
    this.apps = apps;
  }

  static AppRuns create(CallerClient client, List<String> apps) {
    return new AppRuns(client, apps);
  }

  /** Returns how often a key ran, over all stand-ins. */
  int of(String key) {
    return apps.stream().mapToInt(a -> runsAt(a, key)).sum();
  }

  /** Sets the faults of all stand-ins. */
  void setFaults(ObjectNode faults) {
    for (String app : apps) {
      CallerAnswer answer =
          client.ask(new CallerCall(app, "POST", "/faults", Map.of(), faults.toString()));
      if (answer.status() != 200) {
        throw new IllegalStateException(answer.describe());
      }
    }
  }

  /** Ends all faults. */
  void clearFaults() {
    setFaults(Json.object());
  }

  private int runsAt(String app, String key) {
    CallerAnswer answer = client.ask(new CallerCall(app, "GET", "/runs", Map.of(), ""));
    return answer.json().path("runs").path(key).asInt();
  }
}
