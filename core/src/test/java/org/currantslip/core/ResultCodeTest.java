package org.currantslip.core;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import org.currantslip.core.common.ResultCode;
import org.junit.jupiter.api.Test;

final class ResultCodeTest {
  @Test
  void numbersAreUnique() {
    long distinct = Arrays.stream(ResultCode.values()).map(ResultCode::number).distinct().count();
    assertThat(distinct).isEqualTo(ResultCode.values().length);
  }
}
