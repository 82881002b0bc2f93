package org.currantslip.node.admin;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigNames;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.AdminView;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.ApplyRequest;
import org.currantslip.schema.AuditEntry;
import org.currantslip.schema.AuditRecord;
import org.currantslip.schema.AuditReply;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.ConfigReply;
import org.currantslip.schema.DrainReply;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.EndpointStatus;
import org.currantslip.schema.StatusReply;
import org.currantslip.schema.UsageReply;
import org.currantslip.schema.WhyReply;

/** Administration of one node. All access to its components runs on the decision thread. */
public final class NodeAdminOperations implements AdminOperations {
  private static final int AUDIT_PAGE_SIZE = 50;

  private final AdminComponents components;
  private final Executor decisionThread;
  private final UsageAggregator usageAggregator;
  private final AuditRecorder auditRecorder;

  private NodeAdminOperations(AdminComponents components, Executor decisionThread) {
    this.components = components;
    this.decisionThread = decisionThread;
    this.usageAggregator = UsageAggregator.create(components.store());
    this.auditRecorder = AuditRecorder.create(components);
  }

  /** Returns operations that access {@code components} only on {@code decisionThread}. */
  public static NodeAdminOperations create(AdminComponents components, Executor decisionThread) {
    return new NodeAdminOperations(components, decisionThread);
  }

  @Override
  public CompletableFuture<ConfigReply> config(long version) {
    return onDecisionThread(
        () -> {
          AcceptedConfig current = components.config().acceptedConfig();
          return version == 0 || version == current.getVersion()
              ? CompletableFuture.completedFuture(configReply(current))
              : loadHistory(version).thenApply(this::configReply);
        });
  }

  @Override
  public CompletableFuture<ApplyReply> apply(String operator, ApplyRequest request) {
    return onDecisionThread(
        () ->
            components
                .config()
                .apply(operator, request)
                .thenApply(reply -> reply.toBuilder().setView(view()).build()));
  }

  @Override
  public CompletableFuture<StatusReply> status() {
    return onDecisionThread(
        () ->
            CompletableFuture.completedFuture(
                StatusReply.newBuilder()
                    .setView(view())
                    .addAllNode(components.nodes().get())
                    .addAllEndpoint(
                        components.endpoints().endpoints().stream()
                            .map(this::endpointStatus)
                            .toList())
                    .addAllRollout(components.rollouts().get())
                    .build()));
  }

  @Override
  public CompletableFuture<WhyReply> explainDecision(String requestId) {
    return onDecisionThread(
        () ->
            components
                .decisionLog()
                .find(requestId)
                .thenApply(
                    found ->
                        WhyReply.newBuilder()
                            .setView(view())
                            .setDecision(
                                found.orElseThrow(
                                    () ->
                                        AdminException.of(
                                            ResultCode.NOT_FOUND,
                                            "no decision record found for this request id")))
                            .build()));
  }

  @Override
  public CompletableFuture<UsageReply> usage(String account, long sinceMs) {
    return onDecisionThread(
        () ->
            usageAggregator
                .read(account, sinceMs)
                .thenApply(reply -> reply.toBuilder().setView(view()).build()));
  }

  @Override
  public CompletableFuture<BurnReply> serviceLevels() {
    return onDecisionThread(
        () ->
            components
                .burnLog()
                .report(components.config().current())
                .thenApply(reply -> reply.toBuilder().setView(view()).build()));
  }

  @Override
  public CompletableFuture<AuditReply> audit(String after) {
    return onDecisionThread(
        () ->
            components
                .store()
                .list(ConfigNames.AUDIT_PREFIX, after, AUDIT_PAGE_SIZE)
                .thenApply(
                    page ->
                        AuditReply.newBuilder()
                            .setView(view())
                            .addAllEntry(
                                page.stream().map(NodeAdminOperations::auditEntry).toList())
                            .build()));
  }

  @Override
  public CompletableFuture<DrainReply> drain(String operator, String askedBy, String node) {
    return onDecisionThread(
        () -> {
          String self = components.membership().self().getId().getName();
          if (!node.equals(self)) {
            throw AdminException.of(
                ResultCode.NOT_FOUND,
                "this node is " + self + "; send the request to " + node + " directly");
          }
          if (askedBy.isBlank()) {
            throw AdminException.of(ResultCode.ASKER_MISSING, "asked_by is required for a drain");
          }
          return auditRecorder
              .record(operator, askedBy, "drain", node)
              .thenCompose(stored -> components.drain().get())
              .thenApply(
                  state ->
                      DrainReply.newBuilder()
                          .setView(view())
                          .setNode(node)
                          .setState(state)
                          .build());
        });
  }

  private ConfigReply configReply(AcceptedConfig config) {
    return ConfigReply.newBuilder().setView(view()).setConfig(config).build();
  }

  private CompletableFuture<AcceptedConfig> loadHistory(long version) {
    return components
        .store()
        .get(ConfigNames.historyName(version))
        .thenApply(
            found ->
                found
                    .map(NodeAdminOperations::parseConfig)
                    .orElseThrow(
                        () ->
                            AdminException.of(
                                ResultCode.NOT_FOUND, "no configuration version " + version)));
  }

  private static AcceptedConfig parseConfig(StoredObject object) {
    try {
      return AcceptedConfig.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw AdminException.of(
          ResultCode.STORE_UNAVAILABLE, "cannot parse stored object " + object.name());
    }
  }

  private static AuditEntry auditEntry(StoredObject object) {
    AuditEntry.Builder entry = AuditEntry.newBuilder().setName(object.name());
    try {
      return entry.setRecord(AuditRecord.parseFrom(object.value())).build();
    } catch (InvalidProtocolBufferException e) {
      return entry.build();
    }
  }

  private EndpointStatus endpointStatus(EndpointRecord endpoint) {
    EndpointStatus.Builder status = EndpointStatus.newBuilder().setEndpoint(endpoint);
    components.endpoints().load(endpoint.getId()).ifPresent(load -> addLoad(status, load));
    return status.build();
  }

  private void addLoad(EndpointStatus.Builder status, EndpointLoad load) {
    status
        .setRunning(load.running())
        .setWaiting(load.waiting())
        .setReportAgeMs(Math.max(0, components.clock().nowMs() - load.reportedMs()));
  }

  private AdminView view() {
    return AdminView.newBuilder()
        .setNode(components.membership().self().getId().getName())
        .setViewAgeMs(components.config().ageMs())
        .setConfigVersion(components.config().current().version())
        .build();
  }

  private <T> CompletableFuture<T> onDecisionThread(Supplier<CompletableFuture<T>> action) {
    return CompletableFuture.supplyAsync(action, decisionThread).thenCompose(future -> future);
  }
}
