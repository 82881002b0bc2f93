package org.currantslip.core.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.RequestHandle;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.jspecify.annotations.Nullable;

/** A caller that sends one request and retries it on other nodes. */
final class FleetCaller {
  private static final long DEADLINE_MS = 8_000;
  private static final long CALLER_TIMEOUT_MS = 10_000;

  /** One attempt to send the request. */
  final class Attempt implements CallerSink {
    final FleetNode node;
    final RouterRequest request;
    final int number;
    final long sentMs;
    final StringBuilder body = new StringBuilder();
    final List<ResponseHead> ends = new ArrayList<>();
    int heads;
    @Nullable RequestHandle handle;

    private Attempt(FleetNode node, RouterRequest request, int number) {
      this.node = node;
      this.request = request;
      this.number = number;
      sentMs = fleet.clock.nowMs();
    }

    @Override
    public void head(ResponseHead head) {
      heads++;
    }

    @Override
    public void data(ByteString data) {
      body.append(data.toStringUtf8());
    }

    @Override
    public void finish(ResponseHead end) {
      ends.add(end);
      fleet.checks.onEnd(this, end);
    }

    boolean isOk() {
      return !ends.isEmpty() && ends.get(0).code() == ResultCode.OK;
    }

    boolean isFinished() {
      return !ends.isEmpty() || fleet.clock.nowMs() - sentMs >= CALLER_TIMEOUT_MS;
    }

    boolean gotNotRun() {
      return !ends.isEmpty() && ends.get(0).ran() == Ran.NO;
    }
  }

  final Fleet fleet;
  final String key;
  final boolean service;
  final List<Attempt> attempts = new ArrayList<>();
  private final long issuedMs;

  FleetCaller(Fleet fleet, String name, boolean service) {
    this.fleet = fleet;
    this.service = service;
    issuedMs = fleet.clock.nowMs();
    key = issuedMs + "-" + name;
  }

  Attempt send(FleetNode node) {
    int number = attempts.size() + 1;
    Attempt attempt = new Attempt(node, request(node, number), number);
    attempts.add(attempt);
    node.runOnNode(() -> attempt.handle = node.engine.start(attempt.request, attempt));
    return attempt;
  }

  Attempt last() {
    return attempts.get(attempts.size() - 1);
  }

  boolean isAnswered() {
    return attempts.stream().anyMatch(Attempt::isOk);
  }

  void disconnect() {
    Attempt attempt = last();
    RequestHandle handle = attempt.handle;
    if (handle != null) {
      attempt.node.runOnNode(handle::onCallerDisconnected);
    }
  }

  private RouterRequest request(FleetNode node, int number) {
    return new RouterRequest(
        node.newRequestId(),
        "vestry",
        "quote",
        service ? "" : FleetEndpoints.MODEL,
        service ? FleetEndpoints.SERVICE : "",
        "POST",
        service ? "/bookings" : "/v1/chat/completions",
        "application/json",
        ByteString.copyFromUtf8(key),
        false,
        service ? new LedgerKey("vestry", key, issuedMs) : null,
        number == 1,
        "",
        "",
        fleet.clock.nowMs() + DEADLINE_MS,
        5,
        10,
        100,
        0);
  }
}
