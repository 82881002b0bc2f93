package org.currantslip.core.request;

import java.util.List;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.schema.DecisionRecord;

/** Reports the outcome of a request and the rules that were applied. */
final class RequestReport {
  private final RequestPorts ports;
  private final RouterRequest request;
  private final CallerResponse response;
  private final long startedMs;
  private long firstByteMs = -1;

  private RequestReport(RequestPorts ports, RouterRequest request, CallerResponse response) {
    this.ports = ports;
    this.request = request;
    this.response = response;
    startedMs = ports.clock().nowMs();
  }

  static RequestReport create(RequestPorts ports, RouterRequest request, CallerResponse response) {
    return new RequestReport(ports, request, response);
  }

  /** Records the time of the first byte sent to the caller. */
  void recordFirstByte() {
    if (firstByteMs < 0) {
      firstByteMs = ports.clock().nowMs() - startedMs;
    }
  }

  void finish(ConfigView config, ResultCode code, Ran ran, long costMicros, int attempts) {
    recordFirstByte();
    long now = ports.clock().nowMs();
    ports
        .outcomes()
        .accept(
            new RequestOutcome(
                request.account(),
                request.task(),
                response.model(),
                response.version(),
                request.service(),
                code,
                ran,
                response.sentStatus(),
                firstByteMs,
                now - startedMs,
                costMicros,
                attempts));
    ports.decisions().accept(decision(config, code, ran, now));
  }

  private DecisionRecord decision(ConfigView config, ResultCode code, Ran ran, long now) {
    List<Integer> lines = response.ruleLines();
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
        .setModel(response.model())
        .setVersion(response.version())
        .setConfigVersion(response.configVersion())
        .addAllRuleLine(lines)
        .addAllRuleText(texts)
        .setResultCode(code.number())
        .setRan(ran.text())
        .setAtMs(now)
        .setNode(ports.nodeName())
        .build();
  }
}
