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

/** Sums up the usage records in the store; each request counts once. */
final class StoredUsage {
  private static final String PREFIX = "usage/";
  private static final int PAGE = 8;
  private static final int MAX_LISTED = 1_000;
  private static final int MAX_REQUESTS = 1_000_000;

  private final ObjectStore store;

  private StoredUsage(ObjectStore store) {
    this.store = store;
  }

  static StoredUsage create(ObjectStore store) {
    return new StoredUsage(store);
  }

  CompletableFuture<UsageReply> read(String account, long sinceMs) {
    return page("", new Sum(account, sinceMs)).thenApply(Sum::reply);
  }

  private CompletableFuture<Sum> page(String after, Sum sum) {
    return store
        .list(PREFIX, after, PAGE)
        .thenCompose(
            objects -> {
              objects.forEach(sum::add);
              return objects.size() < PAGE
                  ? CompletableFuture.completedFuture(sum)
                  : page(objects.get(objects.size() - 1).name(), sum);
            });
  }

  /** Running sums of one question. */
  private static final class Sum {
    private final String account;
    private final long sinceMs;
    private final Set<String> seen = new HashSet<>();
    private final Map<String, AccountUsage.Builder> byAccount = new TreeMap<>();
    private final UsageReply.Builder reply = UsageReply.newBuilder();

    Sum(String account, long sinceMs) {
      this.account = account;
      this.sinceMs = sinceMs;
    }

    void add(StoredObject object) {
      try {
        UsageBatch.parseFrom(object.value()).getRecordList().stream()
            .filter(r -> account.isEmpty() || r.getAccount().equals(account))
            .filter(r -> r.getFinishedMs() >= sinceMs)
            .filter(r -> seen.add(r.getRequestId()))
            .forEach(this::add);
      } catch (InvalidProtocolBufferException e) {
        throw AdminException.of(ResultCode.STORE_UNAVAILABLE, "cannot read " + object.name());
      }
      if (seen.size() > MAX_REQUESTS) {
        throw AdminException.of(
            ResultCode.OVERLOADED, "too many requests; narrow by account or time");
      }
    }

    private void add(UsageRecord rec) {
      AccountUsage.Builder sum =
          byAccount.computeIfAbsent(rec.getAccount(), a -> AccountUsage.newBuilder().setAccount(a));
      sum.setRequests(sum.getRequests() + 1);
      for (UsageStage stage : rec.getStageList()) {
        sum.setPromptTokens(sum.getPromptTokens() + stage.getPromptTokens())
            .setCompletionTokens(sum.getCompletionTokens() + stage.getCompletionTokens())
            .setCostMicros(sum.getCostMicros() + stage.getCostMicros());
      }
      if (!account.isEmpty() && reply.getRecordCount() < MAX_LISTED) {
        reply.addRecord(rec);
      }
    }

    UsageReply reply() {
      List<AccountUsage> sums =
          byAccount.values().stream().map(AccountUsage.Builder::build).toList();
      return reply.addAllAccount(sums).build();
    }
  }
}
