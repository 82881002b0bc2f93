package org.currantslip.core.request;

import java.util.List;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.schema.DecisionRecord;

/** Reports how a request ended, and under which rules. */
final class RequestReport {
  private final RequestPorts ports;
  private final RouterRequest request;
  private final CallerAnswer answer;
  private final long startedMs;
  private long firstByteMs = -1;

  private RequestReport(RequestPorts ports, RouterRequest request, CallerAnswer answer) {
    this.ports = ports;
    this.request = request;
    this.answer = answer;
    startedMs = ports.clock().nowMs();
  }

  static RequestReport create(RequestPorts ports, RouterRequest request, CallerAnswer answer) {
    return new RequestReport(ports, request, answer);
  }

  /** The first byte goes to the caller now. */
  void firstByte() {
    if (firstByteMs < 0) {
      firstByteMs = ports.clock().nowMs() - startedMs;
    }
  }

  void finish(ConfigView config, ResultCode code, Ran ran, long costMicros, int attempts) {
    firstByte();
    long now = ports.clock().nowMs();
    ports
        .outcomes()
        .accept(
            new RequestOutcome(
                request.account(),
                request.task(),
                answer.model(),
                answer.version(),
                request.service(),
                code,
                ran,
                answer.sentStatus(),
                firstByteMs,
                now - startedMs,
                costMicros,
                attempts));
    ports.decisions().accept(decision(config, code, ran, now));
  }

  private DecisionRecord decision(ConfigView config, ResultCode code, Ran ran, long now) {
    List<Integer> lines = answer.ruleLines();
    List<String> texts =
        config.rules().rules().stream()
            .map(r -> r.origin())
            .filter(o -> lines.contains(o.line()))
            .map(o -> o.text())
            .toList();
    return DecisionRecord.newBuilder()
        .setRequestId(request.requestId())
        .setAccount(request.account())
        .setTask(request.task())
        .setModel(answer.model())
        .setVersion(answer.version())
        .setConfigVersion(answer.configVersion())
        .addAllRuleLine(lines)
        .addAllRuleText(texts)
        .setResultCode(code.number())
        .setRan(ran.text())
        .setAtMs(now)
        .setNode(ports.nodeName())
        .build();
  }
}
