package org.currantslip.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.stream.StreamSupport;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.caller.CallerClient;

/** Checks the addresses that nodes return at {@code /v1/entry}. */
final class EntryStep {
  private static final long TIMEOUT_MS = 20_000;

  private EntryStep() {}

  /** Checks that every node lists every node. */
  static void run(DemoPlan plan, CallerClient client, Checks checks) {
    int count = plan.nodes().size();
    for (DemoPlan.NodeProcess node : plan.nodes()) {
      boolean complete =
          Waiting.until(
              TIMEOUT_MS,
              () ->
                  !node.process().isAlive()
                      || entryAddresses(client, node.address()).size() == count);
      CallerAnswer answer = ask(client, node.address());
      checks.that(
          node.name() + " answers /v1/entry with " + count + " addresses and a time to live",
          complete && answer.json().path("ttl_ms").asLong() > 0,
          answer);
    }
  }

  /** Returns the addresses that a node lists. */
  static List<String> entryAddresses(CallerClient client, String address) {
    JsonNode nodes = ask(client, address).json().path("nodes");
    return StreamSupport.stream(nodes.spliterator(), false)
        .map(n -> n.path("address").asText())
        .toList();
  }

  private static CallerAnswer ask(CallerClient client, String address) {
    return client.ask(new CallerCall(address, "GET", "/v1/entry", Map.of(), ""));
  }
}
