package org.currantslip.core.request;

import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.config.ConfigView;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageStage;

/** Accumulates the token usage and cost of each completed stage of a request. */
final class UsageStages {
  private static final long TOKENS_PER_KTOK = 1_000;

  private final List<UsageStage> stages = new ArrayList<>();

  private UsageStages() {}

  static UsageStages create() {
    return new UsageStages();
  }

  void add(
      ConfigView config, String model, String version, String endpointId, EndpointUsage usage) {
    stages.add(
        UsageStage.newBuilder()
            .setModel(model)
            .setVersion(version)
            .setEndpoint(endpointId)
            .setPromptTokens(usage.promptTokens())
            .setCompletionTokens(usage.completionTokens())
            .setCostMicros(cost(config, model, version, usage))
            .build());
  }

  private static long cost(ConfigView config, String model, String version, EndpointUsage usage) {
    return config
        .rules()
        .price(model, version)
        .map(
            p ->
                (usage.promptTokens() * p.promptMicrosPerKtok()
                        + usage.completionTokens() * p.completionMicrosPerKtok())
                    / TOKENS_PER_KTOK)
        .orElse(0L);
  }

  long costMicros() {
    return stages.stream().mapToLong(UsageStage::getCostMicros).sum();
  }

  long tokens() {
    return stages.stream().mapToLong(s -> s.getPromptTokens() + s.getCompletionTokens()).sum();
  }

  UsageRecord toRecord(RouterRequest r, CallerResponse response, long nowMs) {
    return UsageRecord.newBuilder()
        .setRequestId(r.requestId())
        .setAccount(r.account())
        .setTask(r.task())
        .setService(r.service())
        .addAllStage(stages)
        .setFinishedMs(nowMs)
        .setConfigVersion(response.configVersion())
        .addAllRuleLine(response.ruleLines())
        .setResult("answered")
        .build();
  }
}
