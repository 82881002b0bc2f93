package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which statuses reach the callers of forwarded requests. */
final class CallerResponseTest {
  private final ForwardedResponseSink sink = new ForwardedResponseSink();
  private final CallerResponse response = CallerResponse.create(request(), sink);

  private static RouterRequest request() {
    return new RouterRequest(
        "id",
        "",
        "",
        "",
        "",
        "POST",
        "/",
        "",
        ByteString.EMPTY,
        false,
        null,
        true,
        "",
        "",
        1_000,
        0,
        0,
        0,
        0,
        new ForwardedRequest("host", "", List.of(), List.of(), "", 0));
  }

  /** Guards against a refusal, such as a peer's, that says "not run" of a request that may have. */
  @ParameterizedTest
  @CsvSource({
    "NO_ENDPOINT, UNKNOWN, 502",
    "RATE_LIMITED, YES, 502",
    "DEADLINE_PASSED, UNKNOWN, 502",
    "NO_ENDPOINT, NO, 503",
    "DEADLINE_EXCEEDED, UNKNOWN, 504"
  })
  void refusalImpliesNotRunOnlyIfThatIsCertain(ResultCode code, Ran ran, int status) {
    response.refuse(RefusalException.of(code, ran, 100, ""));
    assertThat(sink.status()).isEqualTo(status);
    assertThat(sink.firstHead().ran()).isEqualTo(ran);
    assertThat(sink.firstHead().retryAfterMs() > 0).isEqualTo(status != 502);
  }

  /** Guards against a status that a peer passed on unchecked. */
  @ParameterizedTest
  @ValueSource(ints = {408, 421, 429, 503})
  void relayedStatusThatImpliesNotRunIsReplaced(int status) {
    response.relayComplete(EndpointResponseHead.of(status, "", "id"), ByteString.EMPTY);
    assertThat(sink.status()).isEqualTo(502);
    assertThat(sink.firstHead().endpointHead()).isNull();
  }
}
