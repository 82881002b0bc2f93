package org.currantslip.node.wiring;

import java.util.List;
import java.util.stream.Stream;
import org.currantslip.schema.NodeStatus;
import org.currantslip.schema.NodeView;

/** Builds the status that the admin API reports for each node this one knows. */
final class NodeStatusView {
  private NodeStatusView() {}

  static List<NodeStatus> of(CoreComponents core) {
    NodeStatus self =
        NodeStatus.newBuilder()
            .setNode(core.membership().self())
            .setConfigVersion(core.config().current().version())
            .build();
    return Stream.concat(
            Stream.of(self), core.membership().nodeViews().stream().map(NodeStatusView::status))
        .toList();
  }

  private static NodeStatus status(NodeView view) {
    return NodeStatus.newBuilder()
        .setNode(view.getNode())
        .setHeardMsAgo(view.getHeardMsAgo())
        .setConfigVersion(view.getConfigVersion())
        .build();
  }
}
