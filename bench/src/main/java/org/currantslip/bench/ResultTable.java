package org.currantslip.bench;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A titled table of results that can be printed as aligned text or as CSV. */
public final class ResultTable {
  private final String title;
  private final List<String> columns;
  private final List<List<String>> rows = new ArrayList<>();

  private ResultTable(String title, List<String> columns) {
    this.title = title;
    this.columns = columns;
  }

  /** Returns an empty table with the given title and column names. */
  public static ResultTable of(String title, String... columns) {
    return new ResultTable(title, List.of(columns));
  }

  /**
   * Adds a row with one cell per column. {@code Double} cells are printed with four decimals, all
   * others as {@code toString()} gives them.
   */
  public void add(Object... cells) {
    checkArgument(
        cells.length == columns.size(), "wrong number of cells in a row of table %s", title);
    rows.add(Arrays.stream(cells).map(ResultTable::formatCell).toList());
  }

  private static String formatCell(Object cell) {
    return cell instanceof Double number
        ? String.format(Locale.ROOT, "%.4f", number)
        : cell.toString();
  }

  /** Returns the title, from which the name of the CSV file is derived. */
  public String title() {
    return title;
  }

  /** Returns the table as text with aligned columns. */
  public String toText() {
    int[] widths =
        IntStream.range(0, columns.size())
            .map(
                column ->
                    rows.stream()
                        .mapToInt(row -> row.get(column).length())
                        .reduce(columns.get(column).length(), Math::max))
            .toArray();
    StringBuilder out = new StringBuilder(title).append('\n').append(formatLine(columns, widths));
    rows.forEach(row -> out.append(formatLine(row, widths)));
    return out.toString();
  }

  private static String formatLine(List<String> cells, int[] widths) {
    return IntStream.range(0, cells.size())
            .mapToObj(
                column ->
                    String.format(Locale.ROOT, "%-" + widths[column] + "s", cells.get(column)))
            .collect(Collectors.joining("  "))
            .stripTrailing()
        + "\n";
  }

  /** Returns the table as comma-separated values; cells that contain a comma are quoted. */
  public String toCsv() {
    StringBuilder out = new StringBuilder(toCsvLine(columns));
    rows.forEach(row -> out.append(toCsvLine(row)));
    return out.toString();
  }

  private static String toCsvLine(List<String> cells) {
    return cells.stream()
            .map(cell -> cell.contains(",") ? '"' + cell + '"' : cell)
            .collect(Collectors.joining(","))
        + "\n";
  }
}
