package org.currantslip.core.fake;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** A table of test results by fault and step; combinations that were not run are empty cells. */
public final class FaultTable {
  private final String title;
  private final Map<String, Map<String, String>> rows = new LinkedHashMap<>();
  private final Set<String> columns = new LinkedHashSet<>();

  private FaultTable(String title) {
    this.title = title;
  }

  /** Returns an empty table. */
  public static FaultTable of(String title) {
    return new FaultTable(title);
  }

  /** Sets the result of a fault at a step. */
  public void put(String fault, String step, String result) {
    columns.add(step);
    rows.computeIfAbsent(fault, f -> new LinkedHashMap<>()).put(step, result);
  }

  /** Returns the number of combinations of fault and step that were not run. */
  public long emptyCells() {
    return rows.values().stream().mapToLong(r -> columns.size() - r.size()).sum();
  }

  /** Returns the table formatted as aligned text. */
  public String toText() {
    int width =
        rows.values().stream()
            .flatMap(r -> r.values().stream())
            .mapToInt(String::length)
            .reduce(columns.stream().mapToInt(String::length).max().orElse(0), Math::max);
    String format = "%-" + (width + 2) + "s";
    String head = columns.stream().map(c -> cell(format, c)).collect(Collectors.joining());
    String body =
        rows.entrySet().stream()
            .map(e -> cell("%-24s", e.getKey()) + line(e.getValue(), format))
            .collect(Collectors.joining("\n"));
    return title + "\n" + cell("%-24s", "") + head + "\n" + body;
  }

  private String line(Map<String, String> row, String format) {
    return columns.stream()
        .map(c -> cell(format, row.getOrDefault(c, "")))
        .collect(Collectors.joining());
  }

  private static String cell(String format, String text) {
    return String.format(Locale.ROOT, format, text);
  }
}
