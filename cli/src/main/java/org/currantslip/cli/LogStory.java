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
 * What the logs of all nodes say of one request: its own lines, and when the configuration that
 * decided it came into force on the nodes.
 *
 * <p>Lines may stand in any order, and anything may precede the JSON of a line.
 */
final class LogStory {
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * One line of a log.
   *
   * @param at its time, as written
   * @param event number of the event
   * @param fields the event's fields
   */
  private record Line(String at, int event, JsonNode fields) {
    String field(String name) {
      return fields.path(name).asText();
    }

    String text() {
      return StreamSupport.stream(
              ((Iterable<Map.Entry<String, JsonNode>>) fields::fields).spliterator(), false)
          .filter(f -> !f.getValue().asText().isEmpty())
          .map(f -> f.getKey() + "=" + f.getValue().asText())
          .collect(Collectors.joining(" "));
    }
  }

  private final List<Line> own = new ArrayList<>();
  private final List<Line> configs = new ArrayList<>();

  private LogStory() {}

  /** Reads the logs to their end and keeps what concerns a request. */
  static LogStory read(BufferedReader logs, String request) {
    LogStory story = new LogStory();
    logs.lines().flatMap(text -> parse(text).stream()).forEach(line -> story.take(line, request));
    Comparator<Line> byTime = Comparator.comparing(Line::at);
    story.own.sort(byTime);
    story.configs.sort(byTime);
    return story;
  }

  private static Optional<Line> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode tree = JSON.readTree(text.substring(start));
      return Optional.of(
          new Line(tree.path("time").asText(), tree.path("event").asInt(), tree.path("fields")));
    } catch (JacksonException e) {
      // Logs of several programs may be mixed, and the last line of a killed process is cut short.
      return Optional.empty();
    }
  }

  private void take(Line line, String request) {
    if (line.event() == LogEvent.CONFIG_IN_FORCE.number()) {
      configs.add(line);
    } else if (line.field("request").equals(request)) {
      own.add(line);
    }
  }

  boolean isEmpty() {
    return own.isEmpty();
  }

  /** Returns the story, one line each: what happened, the outcome and the configuration. */
  List<String> lines() {
    List<String> out = new ArrayList<>();
    own.forEach(l -> out.add("%s %s %s".formatted(l.at(), nameOf(l.event()), l.text())));
    own.stream()
        .filter(l -> !l.field("code").isEmpty())
        .reduce((first, second) -> second)
        .ifPresent(end -> addOutcome(end, out));
    return out;
  }

  private void addOutcome(Line end, List<String> out) {
    String ran = end.field("ran").equals("no") ? "it did not run" : "it may have run";
    out.add("outcome: %s %s; %s".formatted(end.field("code"), resultOf(end.field("code")), ran));
    List<Line> inForce =
        configs.stream()
            .filter(c -> c.field("version").equals(end.field("config_version")))
            .toList();
    if (!inForce.isEmpty()) {
      out.add(
          "configuration %s: in force on %d nodes, from %s to %s"
              .formatted(
                  end.field("config_version"),
                  inForce.size(),
                  inForce.get(0).at(),
                  inForce.get(inForce.size() - 1).at()));
    }
  }

  private static String nameOf(int event) {
    return Arrays.stream(LogEvent.values())
        .filter(e -> e.number() == event)
        .map(Enum::name)
        .findFirst()
        .orElse("event " + event);
  }

  private static String resultOf(String code) {
    return ResultCode.ofNumber(Integer.parseInt(code)).map(Enum::name).orElse("?");
  }
}
