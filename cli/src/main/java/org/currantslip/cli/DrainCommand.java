package org.currantslip.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.DrainReply;
import org.currantslip.schema.DrainRequest;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeStatus;
import org.currantslip.schema.StatusReply;

/** Starts the graceful shutdown of one node. */
final class DrainCommand implements Command {
  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String help() {
    return "start a graceful shutdown of a node; requests in flight are completed";
  }

  @Override
  public String example() {
    return "currantslip drain node-3 --asked-by 'Night shift'";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("node").help("name of the node");
    parser.addArgument("--asked-by").required(true).help("who requested the shutdown");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String node = args.getString("node");
    StatusReply status = context.client().get("status", StatusReply.getDefaultInstance());
    NodeRecord target =
        status.getNodeList().stream()
            .map(NodeStatus::getNode)
            .filter(n -> n.getId().getName().equals(node))
            .findFirst()
            .orElseThrow(
                () ->
                    CliException.of(
                        ResultCode.NOT_FOUND,
                        "node %s does not know a node named %s"
                            .formatted(status.getView().getNode(), node)));
    DrainReply reply =
        context
            .client()
            .postTo(
                "http://" + target.getAdminAddress(),
                "drain/" + node,
                DrainRequest.newBuilder().setAskedBy(args.getString("asked_by")).build(),
                DrainReply.getDefaultInstance());
    context
        .output()
        .show(
            reply,
            () -> {
              context.output().view(reply.getView());
              context.output().line("%s is now %s", reply.getNode(), reply.getState());
            });
    return ExitCode.OK;
  }
}
