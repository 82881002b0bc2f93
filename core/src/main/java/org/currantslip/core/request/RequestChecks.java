package org.currantslip.core.request;

import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;

/** Synchronous checks made before a request is admitted. */
final class RequestChecks {
  private static final long STALE_CONFIG_RETRY_AFTER_MS = 2_000;
  private static final long SPOOL_FULL_RETRY_AFTER_MS = 3_000;

  private RequestChecks() {}

  /** Throws a refusal if the request may not run. */
  static void check(RequestPorts ports, RouterRequest r, ConfigView config) {
    if (ports.clock().nowMs() >= r.deadlineMs()) {
      throw RefusalException.notRun(ResultCode.DEADLINE_PASSED, "the deadline has passed");
    }
    checkConfigFresh(ports);
    if (!ports.usage().hasCapacity()) {
      throw RefusalException.notRunRetryable(
          ResultCode.USAGE_SPOOL_FULL,
          SPOOL_FULL_RETRY_AFTER_MS,
          "usage records wait for the store");
    }
    if (r.isService()) {
      checkService(r, config);
    }
  }

  /** Throws a refusal if the current configuration may be stale. */
  static void checkConfigFresh(RequestPorts ports) {
    if (!ports.config().isFresh()) {
      throw RefusalException.notRunRetryable(
          ResultCode.CONFIG_NOT_FRESH,
          STALE_CONFIG_RETRY_AFTER_MS,
          "the newest configuration is not known to this node");
    }
  }

  private static void checkService(RouterRequest r, ConfigView config) {
    if (config.rules().allowServiceRule(r.account(), r.service()).isEmpty()) {
      throw RefusalException.notRun(
          ResultCode.SERVICE_NOT_ALLOWED,
          "no rule allows account " + r.account() + " to use service " + r.service());
    }
    if (r.idempotencyKey() == null && isAtMostOnce(r, config)) {
      throw RefusalException.notRun(
          ResultCode.IDEMPOTENCY_KEY_MISSING, "a rule demands an Idempotency-Key for this call");
    }
  }

  /** Returns whether a rule requires at-most-once execution of this request. */
  static boolean isAtMostOnce(RouterRequest r, ConfigView config) {
    return r.isService()
        && config
            .rules()
            .atMostOnceRule(r.account(), r.service(), r.method(), r.path())
            .isPresent();
  }

  /** Returns the models to try, in cascade order. */
  static List<String> models(RequestPorts ports, RouterRequest r, ConfigView config) {
    if (!r.model().isEmpty()) {
      if (!config.rules().knowsModel(r.model())) {
        throw RefusalException.notRun(ResultCode.MODEL_UNKNOWN, "no rule names model " + r.model());
      }
      return List.of(r.model());
    }
    List<String> plan = ports.cascade().plan(config, r.account(), r.task());
    if (plan.isEmpty()) {
      throw RefusalException.notRun(
          ResultCode.MODEL_UNKNOWN, "no tier rule names task " + r.task());
    }
    return plan;
  }

  /** Returns the line numbers of the rules that apply to a plain service call. */
  static List<Integer> serviceRuleLines(RouterRequest r, ConfigView config) {
    List<Rule> rules = new ArrayList<>();
    config.rules().allowServiceRule(r.account(), r.service()).ifPresent(rules::add);
    config
        .rules()
        .atMostOnceRule(r.account(), r.service(), r.method(), r.path())
        .ifPresent(rules::add);
    return Rule.lines(rules);
  }
}
