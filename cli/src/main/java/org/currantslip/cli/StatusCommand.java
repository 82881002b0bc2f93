package org.currantslip.cli;

import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.schema.EndpointStatus;
import org.currantslip.schema.NodeStatus;
import org.currantslip.schema.RolloutState;
import org.currantslip.schema.StatusReply;

/** Shows nodes, endpoints and rollouts. */
final class StatusCommand implements Command {
  @Override
  public String name() {
    return "status";
  }

  @Override
  public String help() {
    return "show nodes, endpoints, versions, rollout stages and the configuration on each node";
  }

  @Override
  public String example() {
    return "currantslip status --output json";
  }

  @Override
  public void addArguments(Subparser parser) {}

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    StatusReply reply = context.client().get("status", StatusReply.getDefaultInstance());
    context.output().show(reply, () -> print(context.output(), reply));
    return ExitCode.OK;
  }

  private static void print(Output output, StatusReply reply) {
    output.view(reply.getView());
    List<List<String>> nodes = new ArrayList<>();
    nodes.add(List.of("node", "failure domain", "state", "configuration", "heard ms ago", "admin"));
    reply.getNodeList().stream().map(StatusCommand::tableRow).forEach(nodes::add);
    output.table(nodes);
    List<List<String>> endpoints = new ArrayList<>();
    endpoints.add(
        List.of("endpoint", "serves", "version", "state", "running", "waiting", "report ms ago"));
    reply.getEndpointList().stream().map(StatusCommand::tableRow).forEach(endpoints::add);
    output.table(endpoints);
    printRollouts(output, reply);
  }

  /** Writes the table of rollouts. */
  static void printRollouts(Output output, StatusReply reply) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("roll-out", "version", "stage", "share", "state", "reason"));
    reply.getRolloutList().stream().map(StatusCommand::tableRow).forEach(rows::add);
    output.table(rows);
  }

  private static List<String> tableRow(NodeStatus status) {
    return List.of(
        status.getNode().getId().getName(),
        status.getNode().getFailureDomain(),
        status.getNode().getState().name(),
        "" + status.getConfigVersion(),
        "" + status.getHeardMsAgo(),
        status.getNode().getAdminAddress());
  }

  private static List<String> tableRow(EndpointStatus status) {
    boolean model = !status.getEndpoint().getModel().isEmpty();
    return List.of(
        status.getEndpoint().getId(),
        model ? status.getEndpoint().getModel() : status.getEndpoint().getService(),
        status.getEndpoint().getVersion(),
        status.getEndpoint().getLeaving() ? "leaving" : "live",
        "" + status.getRunning(),
        "" + status.getWaiting(),
        "" + status.getReportAgeMs());
  }

  private static List<String> tableRow(RolloutState state) {
    return List.of(
        state.getModel(),
        state.getVersion(),
        "" + state.getStage(),
        "" + state.getShare(),
        state.getVerdict().name(),
        state.getReason());
  }
}
