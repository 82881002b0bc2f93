package org.currantslip.adapter.settings;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.AccountSettings;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.OperatorSettings;
import org.currantslip.schema.ServiceSettings;

/** Validates constraints that span several keys of a node's settings. */
final class NodeSettingsValidator {
  private NodeSettingsValidator() {}

  static ImmutableList<SettingsProblem> validate(NodeSettings settings) {
    ImmutableList.Builder<SettingsProblem> problems = ImmutableList.builder();
    List<String> tokens = new ArrayList<>();
    settings.getAccountList().stream().map(AccountSettings::getToken).forEach(tokens::add);
    settings.getOperatorList().stream().map(OperatorSettings::getToken).forEach(tokens::add);
    reportDuplicates(
        "account.name", names(settings.getAccountList(), AccountSettings::getName), problems);
    reportDuplicates(
        "operator.name", names(settings.getOperatorList(), OperatorSettings::getName), problems);
    reportDuplicates(
        "service.name", names(settings.getServiceList(), ServiceSettings::getName), problems);
    Set<String> seen = new HashSet<>();
    if (tokens.stream().filter(t -> !t.isEmpty()).anyMatch(t -> !seen.add(t))) {
      problems.add(
          problem("token", "two accounts or operators have the same token; each needs its own"));
    }
    var timeouts = settings.getTimeouts();
    if (timeouts.getPeerSilentMs() != 0
        && timeouts.getPeerSilentMs() < 2 * timeouts.getHeartbeatMs()) {
      problems.add(
          problem("timeouts.peer_silent_ms", "must be at least twice timeouts.heartbeat_ms"));
    }
    return problems.build();
  }

  private static <T> List<String> names(List<T> list, java.util.function.Function<T, String> name) {
    return list.stream().map(name).filter(n -> !n.isEmpty()).toList();
  }

  private static void reportDuplicates(
      String key, List<String> names, ImmutableList.Builder<SettingsProblem> problems) {
    Set<String> seen = new HashSet<>();
    names.stream()
        .filter(n -> !seen.add(n))
        .forEach(n -> problems.add(problem(key, n + " is used more than once")));
  }

  private static SettingsProblem problem(String key, String reason) {
    return new SettingsProblem(key, ResultCode.SETTING_OUT_OF_RANGE, reason);
  }
}
