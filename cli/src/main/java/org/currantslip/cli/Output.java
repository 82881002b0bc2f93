package org.currantslip.cli;

import com.google.common.base.Strings;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.io.PrintStream;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.schema.AdminView;

/** Writes results as text or JSON. */
final class Output {
  private static final String COLUMN_SEPARATOR = "  ";

  private final PrintStream out;
  private final PrintStream err;
  private final boolean json;

  private Output(PrintStream out, PrintStream err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  static Output create(PrintStream out, PrintStream err, boolean json) {
    return new Output(out, err, json);
  }

  boolean isJson() {
    return json;
  }

  /**
   * Writes the message in JSON mode; otherwise runs {@code printText}, which writes the text form.
   */
  void show(Message message, Runnable printText) {
    if (json) {
      out.println(toJson(message));
    } else {
      printText.run();
    }
  }

  void line(String format, Object... args) {
    out.println(args.length == 0 ? format : String.format(java.util.Locale.ROOT, format, args));
  }

  void error(CliException failure) {
    if (json) {
      err.println(toJson(failure.toError()));
    } else {
      err.printf(
          "error %d %s: %s%n", failure.code().number(), failure.code(), failure.getMessage());
      failure.lines().forEach(l -> err.println(COLUMN_SEPARATOR + l));
    }
  }

  /** Writes which node responded, the age of its view and its configuration version. */
  void view(AdminView view) {
    line(
        "node %s, view %d ms old, configuration %d",
        view.getNode(), view.getViewAgeMs(), view.getConfigVersion());
  }

  /** Writes rows of equal length as a table with aligned columns; the first row is the header. */
  void table(List<List<String>> rows) {
    int columns = rows.get(0).size();
    List<Integer> widths =
        IntStream.range(0, columns)
            .map(c -> rows.stream().mapToInt(r -> r.get(c).length()).max().orElse(0))
            .boxed()
            .toList();
    rows.forEach(
        row ->
            line(
                "%s",
                IntStream.range(0, columns)
                    .mapToObj(c -> Strings.padEnd(row.get(c), widths.get(c), ' '))
                    .collect(Collectors.joining(COLUMN_SEPARATOR))
                    .stripTrailing()));
  }

  private static String toJson(Message message) {
    try {
      return JsonFormat.printer()
          .preservingProtoFieldNames()
          .alwaysPrintFieldsWithNoPresence()
          .print(message);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
