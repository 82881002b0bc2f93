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

/** Administration of one node; all work on its parts runs on the decision thread. */
public final class NodeAdminOperations implements AdminOperations {
  private static final int AUDIT_PAGE = 50;

  private final AdminParts parts;
  private final Executor decisionThread;
  private final StoredUsage usage;
  private final ChangeAudit audit;

  private NodeAdminOperations(AdminParts parts, Executor decisionThread) {
    this.parts = parts;
    this.decisionThread = decisionThread;
    this.usage = StoredUsage.create(parts.store());
    this.audit = ChangeAudit.create(parts);
  }

  /** Returns operations on a node's parts, which are touched only on {@code decisionThread}. */
  public static NodeAdminOperations create(AdminParts parts, Executor decisionThread) {
    return new NodeAdminOperations(parts, decisionThread);
  }

  @Override
  public CompletableFuture<ConfigReply> config(long version) {
    return decide(
        () -> {
          AcceptedConfig current = parts.config().accepted();
          return version == 0 || version == current.getVersion()
              ? CompletableFuture.completedFuture(reply(current))
              : history(version).thenApply(this::reply);
        });
  }

  @Override
  public CompletableFuture<ApplyReply> apply(String operator, ApplyRequest request) {
    return decide(
        () ->
            parts
                .config()
                .apply(operator, request)
                .thenApply(r -> r.toBuilder().setView(view()).build()));
  }

  @Override
  public CompletableFuture<StatusReply> status() {
    return decide(
        () ->
            CompletableFuture.completedFuture(
                StatusReply.newBuilder()
                    .setView(view())
                    .addAllNode(parts.nodes().get())
                    .addAllEndpoint(
                        parts.endpoints().endpoints().stream().map(this::endpointStatus).toList())
                    .addAllRollout(parts.rollouts().get())
                    .build()));
  }

  @Override
  public CompletableFuture<WhyReply> why(String requestId) {
    return decide(
        () ->
            parts
                .decisions()
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
                                            "no decision is known for this request id")))
                            .build()));
  }

  @Override
  public CompletableFuture<UsageReply> usage(String account, long sinceMs) {
    return decide(
        () -> usage.read(account, sinceMs).thenApply(r -> r.toBuilder().setView(view()).build()));
  }

  @Override
  public CompletableFuture<BurnReply> burn() {
    return decide(
        () ->
            parts
                .burn()
                .report(parts.config().current())
                .thenApply(r -> r.toBuilder().setView(view()).build()));
  }

  @Override
  public CompletableFuture<AuditReply> audit(String after) {
    return decide(
        () ->
            parts
                .store()
                .list(ConfigNames.AUDIT_PREFIX, after, AUDIT_PAGE)
                .thenApply(
                    page ->
                        AuditReply.newBuilder()
                            .setView(view())
                            .addAllEntry(page.stream().map(NodeAdminOperations::entry).toList())
                            .build()));
  }

  @Override
  public CompletableFuture<DrainReply> drain(String operator, String askedBy, String node) {
    return decide(
        () -> {
          String self = parts.membership().self().getId().getName();
          if (!node.equals(self)) {
            throw AdminException.of(
                ResultCode.NOT_FOUND, "this node is " + self + "; ask " + node + " itself");
          }
          if (askedBy.isBlank()) {
            throw AdminException.of(
                ResultCode.ASKER_MISSING, "a drain has to name who asked for it");
          }
          return audit
              .record(operator, askedBy, "drain", node)
              .thenCompose(x -> parts.drain().get())
              .thenApply(
                  state ->
                      DrainReply.newBuilder()
                          .setView(view())
                          .setNode(node)
                          .setState(state)
                          .build());
        });
  }

  private ConfigReply reply(AcceptedConfig config) {
    return ConfigReply.newBuilder().setView(view()).setConfig(config).build();
  }

  private CompletableFuture<AcceptedConfig> history(long version) {
    return parts
        .store()
        .get(ConfigNames.history(version))
        .thenApply(
            found ->
                found
                    .map(NodeAdminOperations::parse)
                    .orElseThrow(
                        () ->
                            AdminException.of(
                                ResultCode.NOT_FOUND, "no configuration " + version)));
  }

  private static AcceptedConfig parse(StoredObject object) {
    try {
      return AcceptedConfig.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw AdminException.of(ResultCode.STORE_UNAVAILABLE, "cannot read " + object.name());
    }
  }

  private static AuditEntry entry(StoredObject object) {
    AuditEntry.Builder entry = AuditEntry.newBuilder().setName(object.name());
    try {
      return entry.setRecord(AuditRecord.parseFrom(object.value())).build();
    } catch (InvalidProtocolBufferException e) {
      return entry.build();
    }
  }

  private EndpointStatus endpointStatus(EndpointRecord endpoint) {
    EndpointStatus.Builder status = EndpointStatus.newBuilder().setEndpoint(endpoint);
    parts.endpoints().load(endpoint.getId()).ifPresent(l -> addLoad(status, l));
    return status.build();
  }

  private void addLoad(EndpointStatus.Builder status, EndpointLoad load) {
    status
        .setRunning(load.running())
        .setWaiting(load.waiting())
        .setReportAgeMs(Math.max(0, parts.clock().nowMs() - load.reportedMs()));
  }

  private AdminView view() {
    return AdminView.newBuilder()
        .setNode(parts.membership().self().getId().getName())
        .setViewAgeMs(parts.config().ageMs())
        .setConfigVersion(parts.config().current().version())
        .build();
  }

  private <T> CompletableFuture<T> decide(Supplier<CompletableFuture<T>> action) {
    return CompletableFuture.supplyAsync(action, decisionThread).thenCompose(f -> f);
  }
}
