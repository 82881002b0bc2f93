package org.currantslip.bench;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A table of figures with a title. */
public final class ResultTable {
  private final String title;
  private final List<String> columns;
  private final List<List<String>> rows = new ArrayList<>();

  private ResultTable(String title, List<String> columns) {
    this.title = title;
    this.columns = columns;
  }

  /** Returns an empty table. */
  public static ResultTable of(String title, String... columns) {
    return new ResultTable(title, List.of(columns));
  }

  /** Adds a row; numbers are printed with at most four decimals. */
  public void add(Object... cells) {
    checkArgument(cells.length == columns.size(), "wrong number of cells in %s", title);
    rows.add(Arrays.stream(cells).map(ResultTable::text).toList());
  }

  private static String text(Object cell) {
    return cell instanceof Double number
        ? String.format(Locale.ROOT, "%.4f", number)
        : cell.toString();
  }

  /** Returns the title. */
  public String title() {
    return title;
  }

  /** Returns the table for a terminal. */
  public String toText() {
    int[] widths =
        IntStream.range(0, columns.size())
            .map(
                i ->
                    rows.stream()
                        .mapToInt(r -> r.get(i).length())
                        .reduce(columns.get(i).length(), Math::max))
            .toArray();
    StringBuilder out = new StringBuilder(title).append('\n').append(line(columns, widths));
    rows.forEach(r -> out.append(line(r, widths)));
    return out.toString();
  }

  private static String line(List<String> cells, int[] widths) {
    return IntStream.range(0, cells.size())
            .mapToObj(i -> String.format(Locale.ROOT, "%-" + widths[i] + "s", cells.get(i)))
            .collect(Collectors.joining("  "))
            .stripTrailing()
        + "\n";
  }

  /** Returns the table as comma-separated values. */
  public String toCsv() {
    StringBuilder out = new StringBuilder(csvLine(columns));
    rows.forEach(r -> out.append(csvLine(r)));
    return out.toString();
  }

  private static String csvLine(List<String> cells) {
    return cells.stream()
            .map(c -> c.contains(",") ? '"' + c + '"' : c)
            .collect(Collectors.joining(","))
        + "\n";
  }
}
