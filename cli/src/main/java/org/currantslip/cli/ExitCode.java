package org.currantslip.cli;

import org.currantslip.core.common.ResultCode;

/** Exit codes of the tool; the documentation lists their meanings word for word. */
enum ExitCode {
  OK(0, "done"),
  REFUSED(1, "the node refused"),
  USAGE(2, "wrong use, unreadable file, or problems in rules or settings"),
  UNREACHABLE(3, "no node or no store could be reached, or the outcome is not known"),
  CONFLICT(4, "another change was accepted first"),
  NOT_EVERYWHERE(5, "accepted, but not yet in force on every live node"),
  INTERNAL(70, "a fault in this command");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  int number() {
    return number;
  }

  String meaning() {
    return meaning;
  }

  /** Returns the exit code for a result code of a node. */
  static ExitCode of(ResultCode code) {
    return switch (code) {
      case OK -> OK;
      case CONFIG_CONFLICT -> CONFLICT;
      case NOT_IN_FORCE_EVERYWHERE -> NOT_EVERYWHERE;
      case STORE_UNAVAILABLE, NO_NODE_REACHABLE -> UNREACHABLE;
      case RULES_INVALID, SETTINGS_UNREADABLE, COMMAND_USAGE, FILE_UNREADABLE, ASKER_MISSING ->
          USAGE;
      default -> REFUSED;
    };
  }
}
