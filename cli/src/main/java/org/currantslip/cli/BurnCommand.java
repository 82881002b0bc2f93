package org.currantslip.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnRow;
import org.currantslip.schema.BurnWindow;

/** Shows how fast error budgets burn. */
final class BurnCommand implements Command {
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
    return "currantslip burn";
  }

  @Override
  public void declare(Subparser parser) {}

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    BurnReply reply = context.client().get("burn", BurnReply.getDefaultInstance());
    context.output().show(reply, () -> describe(context.output(), reply));
    return ExitCode.OK;
  }

  private static void describe(Output output, BurnReply reply) {
    output.view(reply.getView());
    List<List<String>> rows = new ArrayList<>();
    rows.add(
        List.of(
            "account",
            "task",
            "target",
            "budget left",
            "burn 5m",
            "1h",
            "6h",
            "3d",
            "requests",
            "on bad versions",
            "cost micros",
            "quality",
            "p50 ms",
            "p99 ms"));
    reply.getRowList().stream().map(BurnCommand::row).forEach(rows::add);
    output.table(rows);
  }

  private static List<String> row(BurnRow row) {
    List<String> cells = new ArrayList<>();
    cells.add(row.getAccount());
    cells.add(row.getTask());
    cells.add(row.getTarget() == 0 ? "-" : percent(row.getTarget()));
    cells.add(row.getTarget() == 0 ? "-" : percent(row.getBudgetLeft()));
    row.getWindowList().stream()
        .map(BurnWindow::getBurnRate)
        .map(BurnCommand::rate)
        .forEach(cells::add);
    cells.add("" + row.getRequests());
    cells.add("" + row.getBadVersionRequests());
    cells.add("" + row.getCostMicros());
    cells.add(row.getRated() == 0 ? "-" : percent(row.getQuality()));
    cells.add("" + (long) row.getP50Ms());
    cells.add("" + (long) row.getP99Ms());
    return cells;
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f%%", 100 * share);
  }

  private static String rate(double rate) {
    return String.format(Locale.ROOT, "%.2f", rate);
  }
}
