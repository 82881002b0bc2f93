package org.currantslip.cli;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.ResultCode;

/**
 * Log events of one request, collected from the logs of all nodes, and the times at which the
 * configuration that decided the request came into force on the nodes.
 *
 * <p>Log lines may come in any order, and any text may precede the JSON object of a line.
 */
final class RequestLog {
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * A parsed log line.
   *
   * @param time timestamp as written in the log
   * @param event number of the event
   * @param fields the event's fields
   */
  private record LogEntry(String time, int event, JsonNode fields) {
    String field(String name) {
      return fields.path(name).asText();
    }

    String formatFields() {
      return StreamSupport.stream(
              ((Iterable<Map.Entry<String, JsonNode>>) fields::fields).spliterator(), false)
          .filter(f -> !f.getValue().asText().isEmpty())
          .map(f -> f.getKey() + "=" + f.getValue().asText())
          .collect(Collectors.joining(" "));
    }
  }

  private final List<LogEntry> requestEntries = new ArrayList<>();
  private final List<LogEntry> configEntries = new ArrayList<>();

  private RequestLog() {}

  /** Reads the logs to their end and keeps the events that concern a request. */
  static RequestLog read(BufferedReader logs, String request) {
    RequestLog result = new RequestLog();
    logs.lines()
        .flatMap(text -> parse(text).stream())
        .forEach(entry -> result.addEntry(entry, request));
    Comparator<LogEntry> byTime = Comparator.comparing(LogEntry::time);
    result.requestEntries.sort(byTime);
    result.configEntries.sort(byTime);
    return result;
  }

  private static Optional<LogEntry> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode tree = JSON.readTree(text.substring(start));
      return Optional.of(
          new LogEntry(
              tree.path("time").asText(), tree.path("event").asInt(), tree.path("fields")));
    } catch (JacksonException e) {
      // Not a node's log line: logs of several programs may be mixed, and the last line of a killed
      // process is truncated.
      return Optional.empty();
    }
  }

  private void addEntry(LogEntry entry, String request) {
    if (entry.event() == LogEvent.CONFIG_IN_FORCE.number()) {
      configEntries.add(entry);
    } else if (entry.field("request").equals(request)) {
      requestEntries.add(entry);
    }
  }

  boolean isEmpty() {
    return requestEntries.isEmpty();
  }

  /**
   * Returns the report as lines: the events in order of time, the outcome and the configuration.
   */
  List<String> lines() {
    List<String> report = new ArrayList<>();
    requestEntries.forEach(
        entry ->
            report.add(
                "%s %s %s"
                    .formatted(entry.time(), eventName(entry.event()), entry.formatFields())));
    requestEntries.stream()
        .filter(entry -> !entry.field("code").isEmpty())
        .reduce((first, second) -> second)
        .ifPresent(end -> addOutcome(end, report));
    return report;
  }

  private void addOutcome(LogEntry end, List<String> report) {
    String ran = end.field("ran").equals("no") ? "it did not run" : "it may have run";
    report.add(
        "outcome: %s %s; %s".formatted(end.field("code"), resultName(end.field("code")), ran));
    List<LogEntry> inForce =
        configEntries.stream()
            .filter(c -> c.field("version").equals(end.field("config_version")))
            .toList();
    if (!inForce.isEmpty()) {
      report.add(
          "configuration %s: in force on %d nodes, from %s to %s"
              .formatted(
                  end.field("config_version"),
                  inForce.size(),
                  inForce.get(0).time(),
                  inForce.get(inForce.size() - 1).time()));
    }
  }

  private static String eventName(int event) {
    return Arrays.stream(LogEvent.values())
        .filter(e -> e.number() == event)
        .map(Enum::name)
        .findFirst()
        .orElse("event " + event);
  }

  private static String resultName(String code) {
    return ResultCode.ofNumber(Integer.parseInt(code)).map(Enum::name).orElse("?");
  }
}
