package org.currantslip.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/** Parses the JSON body of {@code POST /faults}; unknown or invalid fields are refused. */
final class FaultParser {
  private static final long MAX_MS = 3_600_000;
  private static final long MAX_TIMES = 1_000_000;
  private static final Set<String> BOOLEANS =
      Set.of(
          "down",
          "refuse",
          "silent_after_accept",
          "lose_answer_after_effect",
          "crossed",
          "truncate",
          "freeze");
  private static final Map<String, Long> MAX_INTEGERS =
      Map.of("slow_ms", MAX_MS, "late_ms", MAX_MS, "times", MAX_TIMES);

  private FaultParser() {}

  static FaultSet parse(JsonNode body) {
    if (!body.isObject()) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "body is not a JSON object");
    }
    for (Iterator<Map.Entry<String, JsonNode>> it = body.fields(); it.hasNext(); ) {
      Map.Entry<String, JsonNode> field = it.next();
      check(field.getKey(), field.getValue());
    }
    return new FaultSet(
        body.path("down").asBoolean(),
        body.path("refuse").asBoolean(),
        body.path("slow_ms").asLong(),
        body.path("late_ms").asLong(),
        body.path("silent_after_accept").asBoolean(),
        body.path("lose_answer_after_effect").asBoolean(),
        body.path("crossed").asBoolean(),
        body.path("truncate").asBoolean(),
        body.path("freeze").asBoolean(),
        body.path("error_share").asDouble(),
        body.path("path").asText(""),
        body.path("times").asInt());
  }

  private static void check(String key, JsonNode value) {
    Long max = MAX_INTEGERS.get(key);
    if (BOOLEANS.contains(key)) {
      checkType(value.isBoolean(), key, "true or false");
    } else if (max != null) {
      checkType(value.isIntegralNumber(), key, "an integer");
      checkRange(value.canConvertToLong() && value.asLong() >= 0 && value.asLong() <= max, key);
    } else if (key.equals("error_share")) {
      checkType(value.isNumber(), key, "a number");
      checkRange(value.asDouble() >= 0 && value.asDouble() <= 1, key);
    } else if (key.equals("path")) {
      checkType(
          value.isTextual() && value.asText().startsWith("/"), key, "a path that starts with /");
    } else {
      throw RefusalException.notRun(ResultCode.SETTING_UNKNOWN, "unknown fault " + key);
    }
  }

  private static void checkType(boolean valid, String key, String expected) {
    if (!valid) {
      throw RefusalException.notRun(ResultCode.SETTING_TYPE, key + " must be " + expected);
    }
  }

  private static void checkRange(boolean valid, String key) {
    if (!valid) {
      throw RefusalException.notRun(ResultCode.SETTING_OUT_OF_RANGE, key + " is out of range");
    }
  }
}
