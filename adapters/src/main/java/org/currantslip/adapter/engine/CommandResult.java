package org.currantslip.adapter.engine;

/** Outcome of a command to a model engine. */
public enum CommandResult {
  /** The engine executed the command, now or on an earlier attempt. */
  DONE,
  /** The engine rejected the command because it has seen a higher fencing number. */
  FENCED,
  /** The command had no effect. */
  NOT_DONE,
  /** No usable response was received; the command may have taken or may still take effect. */
  OUTCOME_UNKNOWN
}
