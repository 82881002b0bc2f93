package org.currantslip.core.common;

import java.util.Arrays;
import java.util.Optional;

/**
 * Numbered log events.
 *
 * <p>The table for operators is {@code docs/LOG_EVENTS.md}. Numbers are never reused.
 */
public enum LogEvent {
  NODE_STARTED(1001, Level.INFO),
  NODE_SERVING(1002, Level.INFO),
  NODE_STOP_PHASE(1003, Level.INFO),
  NODE_STOPPED(1004, Level.INFO),
  NODE_SUPERSEDED(1005, Level.ERROR),
  SETTINGS_RELOADED(1006, Level.INFO),
  SETTINGS_REJECTED(1007, Level.WARN),
  REHEARSED(1008, Level.INFO),
  INCARNATION_GUESSED(1009, Level.WARN),
  REQUESTS_CUT(1010, Level.WARN),
  CONNECTION_CUT(1011, Level.WARN),
  NODE_READY(1012, Level.INFO),
  WARM_UP_FAILED(1013, Level.WARN),
  MEMBER_LIVE(1101, Level.INFO),
  MEMBER_LOST(1102, Level.WARN),
  LINK_OPENED(1201, Level.INFO),
  LINK_CLOSED(1202, Level.INFO),
  LINK_REFUSED(1203, Level.WARN),
  TLS_RELOADED(1204, Level.INFO),
  TLS_UNUSABLE(1205, Level.WARN),
  CONFIG_IN_FORCE(2001, Level.INFO),
  CONFIG_STALE(2002, Level.WARN),
  CONFIG_FRESH(2003, Level.INFO),
  VERSION_STOPPED(3001, Level.WARN),
  ROLLOUT_STAGE(3002, Level.INFO),
  REQUEST_ENDED(4001, Level.DEBUG),
  REQUEST_FAILED(4002, Level.WARN),
  REQUEST_DISPATCHED(4003, Level.DEBUG),
  ATTEMPT_FAILED(4004, Level.WARN),
  ENDPOINT_NOTICE(4005, Level.INFO),
  PROMPT_REFUSED(4006, Level.INFO),
  REPEAT_VETOED(4007, Level.WARN),
  PROMPT_TRIAL(4008, Level.INFO),
  RESPONSE_OVERDUE(4009, Level.WARN),
  PATH_LOST(4010, Level.WARN),
  PATH_RETURNING(4011, Level.INFO),
  PATH_RESTORED(4012, Level.INFO),
  REQUEST_RELAYED(4013, Level.DEBUG),
  RELAY_FAILED(4014, Level.WARN),
  RELAY_ACCEPTED(4015, Level.DEBUG),
  RELAY_REFUSED(4016, Level.INFO),
  ENDPOINTS_CHANGED(5001, Level.INFO),
  ENDPOINT_CRASHED(5002, Level.WARN),
  PART_QUARANTINED(5003, Level.WARN),
  PART_RELEASED(5004, Level.WARN),
  ENDPOINT_COLD(5010, Level.INFO),
  SERVICE_BRITTLE(5011, Level.WARN),
  ALLOWANCE_VALUE_REFUSED(5012, Level.WARN),
  PEER_RESTRICTION(5013, Level.INFO),
  STORE_LOST(6001, Level.WARN),
  STORE_REGAINED(6002, Level.INFO),
  ENTRY_UNREADABLE(6003, Level.WARN),
  LINES_LEFT_OUT(6004, Level.WARN),
  WATCHER_CHANGED(6005, Level.INFO),
  COPY_MISSED(6006, Level.INFO),
  STORE_RESTORED(6007, Level.WARN),
  WATCHER_AVOIDED(6008, Level.INFO),
  EVACUATED_DOMAINS(6010, Level.WARN),
  EVACUATION_STATUS(6011, Level.INFO),
  EVACUATION_REFUSED(6012, Level.WARN),
  LOOKUPS_FAILED(6015, Level.WARN),
  TASK_FAILED(9001, Level.ERROR);

  /** Severity of an event. */
  public enum Level {
    DEBUG,
    INFO,
    WARN,
    ERROR
  }

  private final int number;
  private final Level level;

  LogEvent(int number, Level level) {
    this.number = number;
    this.level = level;
  }

  /** Returns the event with this number, or empty if there is none. */
  public static Optional<LogEvent> ofNumber(int number) {
    return Arrays.stream(values()).filter(e -> e.number == number).findFirst();
  }

  /** Returns the number of this event. */
  public int number() {
    return number;
  }

  /** Returns the severity of this event. */
  public Level level() {
    return level;
  }
}
