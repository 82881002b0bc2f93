package org.currantslip.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnRow;
import org.currantslip.schema.BurnWindow;

/** Shows error budgets and their burn rates. */
final class BurnCommand implements Command {
  /** Names of the burn-rate windows of a report, in order. */
  static final List<String> WINDOW_NAMES = List.of("5m", "1h", "6h", "3d");

  @Override
  public String name() {
    return "burn";
  }

  @Override
  public String help() {
    return "show error budgets, burn rates, exposure to bad versions, cost and latency";
  }

  @Override
  public String example() {
    return "currantslip burn --html burn.html";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--html")
        .metavar("FILE")
        .help("also write an HTML report with charts to this file");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    BurnReply reply = context.client().get("burn", BurnReply.getDefaultInstance());
    List<List<String>> cells = tableRows(reply);
    String htmlFile = args.getString("html");
    if (htmlFile != null) {
      writeFile(htmlFile, BurnHtmlReport.of(reply, cells));
    }
    context
        .output()
        .show(
            reply,
            () -> {
              context.output().view(reply.getView());
              context.output().table(cells);
            });
    return ExitCode.OK;
  }

  private static void writeFile(String file, String page) {
    try {
      Files.writeString(Path.of(file), page);
    } catch (IOException e) {
      throw CliException.of(ResultCode.FILE_UNREADABLE, "cannot write " + file + ": " + e);
    }
  }

  private static List<List<String>> tableRows(BurnReply reply) {
    List<String> header = new ArrayList<>(List.of("account", "task", "target", "budget left"));
    WINDOW_NAMES.forEach(w -> header.add("burn " + w));
    header.addAll(
        List.of("requests", "on bad versions", "cost micros", "quality", "p50 ms", "p99 ms"));
    List<List<String>> rows = new ArrayList<>();
    rows.add(header);
    reply.getRowList().stream().map(BurnCommand::tableRow).forEach(rows::add);
    return rows;
  }

  private static List<String> tableRow(BurnRow row) {
    List<String> cells = new ArrayList<>();
    cells.add(row.getAccount());
    cells.add(row.getTask());
    cells.add(row.getTarget() == 0 ? "-" : formatPercent(row.getTarget()));
    cells.add(row.getTarget() == 0 ? "-" : formatPercent(row.getBudgetLeft()));
    row.getWindowList().stream()
        .map(BurnWindow::getBurnRate)
        .map(BurnCommand::formatRate)
        .forEach(cells::add);
    cells.add("" + row.getRequests());
    cells.add("" + row.getBadVersionRequests());
    cells.add("" + row.getCostMicros());
    cells.add(row.getRated() == 0 ? "-" : formatPercent(row.getQuality()));
    cells.add("" + (long) row.getP50Ms());
    cells.add("" + (long) row.getP99Ms());
    return cells;
  }

  private static String formatPercent(double share) {
    return String.format(Locale.ROOT, "%.2f%%", 100 * share);
  }

  private static String formatRate(double rate) {
    return String.format(Locale.ROOT, "%.2f", rate);
  }
}
