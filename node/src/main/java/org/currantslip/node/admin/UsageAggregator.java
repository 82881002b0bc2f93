package org.currantslip.node.admin;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.AccountUsage;
import org.currantslip.schema.UsageBatch;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageReply;
import org.currantslip.schema.UsageStage;

/** Aggregates the usage records in the object store, counting each request id once. */
final class UsageAggregator {
  private static final String USAGE_PREFIX = "usage/";
  private static final int PAGE_SIZE = 8;
  private static final int MAX_LISTED_RECORDS = 1_000;
  private static final int MAX_REQUESTS = 1_000_000;

  private final ObjectStore store;

  private UsageAggregator(ObjectStore store) {
    this.store = store;
  }

  static UsageAggregator create(ObjectStore store) {
    return new UsageAggregator(store);
  }

  CompletableFuture<UsageReply> read(String account, long sinceMs) {
    return addPagesAfter("", new Totals(account, sinceMs)).thenApply(Totals::reply);
  }

  private CompletableFuture<Totals> addPagesAfter(String after, Totals totals) {
    return store
        .list(USAGE_PREFIX, after, PAGE_SIZE)
        .thenCompose(
            objects -> {
              objects.forEach(totals::add);
              return objects.size() < PAGE_SIZE
                  ? CompletableFuture.completedFuture(totals)
                  : addPagesAfter(objects.get(objects.size() - 1).name(), totals);
            });
  }

  /** Totals accumulated for one usage query. */
  private static final class Totals {
    private final String account;
    private final long sinceMs;
    private final Set<String> seenRequestIds = new HashSet<>();
    private final Map<String, AccountUsage.Builder> byAccount = new TreeMap<>();
    private final UsageReply.Builder reply = UsageReply.newBuilder();

    Totals(String account, long sinceMs) {
      this.account = account;
      this.sinceMs = sinceMs;
    }

    void add(StoredObject object) {
      try {
        UsageBatch.parseFrom(object.value()).getRecordList().stream()
            .filter(usageRecord -> account.isEmpty() || usageRecord.getAccount().equals(account))
            .filter(usageRecord -> usageRecord.getFinishedMs() >= sinceMs)
            .filter(usageRecord -> seenRequestIds.add(usageRecord.getRequestId()))
            .forEach(this::add);
      } catch (InvalidProtocolBufferException e) {
        throw AdminException.of(
            ResultCode.STORE_UNAVAILABLE, "cannot parse stored object " + object.name());
      }
      if (seenRequestIds.size() > MAX_REQUESTS) {
        throw AdminException.of(
            ResultCode.OVERLOADED,
            "too many requests match; restrict the query by account or time");
      }
    }

    private void add(UsageRecord usageRecord) {
      AccountUsage.Builder totals =
          byAccount.computeIfAbsent(
              usageRecord.getAccount(), name -> AccountUsage.newBuilder().setAccount(name));
      totals.setRequests(totals.getRequests() + 1);
      for (UsageStage stage : usageRecord.getStageList()) {
        totals
            .setPromptTokens(totals.getPromptTokens() + stage.getPromptTokens())
            .setCompletionTokens(totals.getCompletionTokens() + stage.getCompletionTokens())
            .setCostMicros(totals.getCostMicros() + stage.getCostMicros());
      }
      if (!account.isEmpty() && reply.getRecordCount() < MAX_LISTED_RECORDS) {
        reply.addRecord(usageRecord);
      }
    }

    UsageReply reply() {
      List<AccountUsage> accountTotals =
          byAccount.values().stream().map(AccountUsage.Builder::build).toList();
      return reply.addAllAccount(accountTotals).build();
    }
  }
}
