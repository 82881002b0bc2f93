package org.currantslip.standin.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.caller.CallerClient;
import org.currantslip.standin.http.Json;

/** Reads the run counters and sets the faults of the service stand-ins. */
final class ServiceControl {
  private final CallerClient client;
  private final List<String> addresses;

  private ServiceControl(CallerClient client, List<String> addresses) {
    this.client = client;
    this.addresses = addresses;
  }

  static ServiceControl create(CallerClient client, List<String> addresses) {
    return new ServiceControl(client, addresses);
  }

  /** Returns how often a key was executed, summed over all stand-ins. */
  int runCount(String key) {
    return addresses.stream().mapToInt(a -> runCountAt(a, key)).sum();
  }

  /** Replaces the faults of all stand-ins. */
  void setFaults(ObjectNode faults) {
    for (String address : addresses) {
      CallerAnswer answer =
          client.ask(new CallerCall(address, "POST", "/faults", Map.of(), faults.toString()));
      if (answer.status() != 200) {
        throw new IllegalStateException(answer.describe());
      }
    }
  }

  /** Clears the faults of all stand-ins. */
  void clearFaults() {
    setFaults(Json.object());
  }

  private int runCountAt(String address, String key) {
    CallerAnswer answer = client.ask(new CallerCall(address, "GET", "/runs", Map.of(), ""));
    return answer.json().path("runs").path(key).asInt();
  }
}
