package org.currantslip.standin.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.currantslip.core.common.RefusalException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FaultSwitchTest {
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'no_such':true} | 7001",
        "{'down':1} | 7003",
        "{'slow_ms':'5'} | 7003",
        "{'slow_ms':1.5} | 7003",
        "{'path':'x'} | 7003",
        "{'slow_ms':-1} | 7004",
        "{'slow_ms':99999999999999999999} | 7004",
        "{'late_ms':3600001} | 7004",
        "{'times':-1} | 7004",
        "{'error_share':1.01} | 7004",
        "{'error_share':-0.1} | 7004",
        "[] | 1003",
        "{ | 1003",
        "'' | 1003",
      })
  void refusesBadInput(String body, int code) {
    RefusalException e =
        assertThrows(RefusalException.class, () -> FaultParser.parse(json(body)), body);
    assertThat(e.code().number()).isEqualTo(code);
    assertThat(e.code().httpStatus()).isEqualTo(400);
  }

  @Test
  void appliesToPathAndCountOnly() {
    FaultSwitch faults = FaultSwitch.create(1);
    faults.set(FaultParser.parse(json("{'down':true,'path':'/a','times':2}")));
    assertThat(faults.activeFor("/b").down()).isFalse();
    assertThat(faults.activeFor("/a/1").down()).isTrue();
    assertThat(faults.activeFor("/a/2").down()).isTrue();
    assertThat(faults.activeFor("/a/3").down()).isFalse();
    faults.set(FaultSet.NONE);
    assertThat(faults.activeFor("/a").down()).isFalse();
  }

  @Test
  void equalSeedsDrawEqualFaults() {
    FaultSwitch first = FaultSwitch.create(3);
    FaultSwitch second = FaultSwitch.create(3);
    for (int i = 0; i < 100; i++) {
      assertThat(first.draw(0.3)).isEqualTo(second.draw(0.3));
    }
  }

  private static JsonNode json(String text) {
    return Json.parse(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }
}
