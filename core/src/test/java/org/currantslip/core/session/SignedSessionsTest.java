package org.currantslip.core.session;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class SignedSessionsTest {
  private static final byte[] SECRET = bytes("0123456789abcdef");
  private static final SessionBinding BINDING =
      new SessionBinding("north-survey", "crew-7", "corridor", "v3");

  private final HmacSessionTokens sessions = HmacSessionTokens.create(SECRET);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void tokenIsVerifiedByAnotherInstanceWithTheSameSecret() {
    String token = sessions.issue(BINDING);
    assertThat(HmacSessionTokens.create(SECRET).verify("north-survey", token)).hasValue(BINDING);
  }

  @Test
  void tokenOfAnotherAccountIsRejected() {
    assertThat(sessions.verify("south-survey", sessions.issue(BINDING))).isEmpty();
  }

  @Test
  void tokenSignedWithAnotherSecretIsRejected() {
    String token = HmacSessionTokens.create(bytes("another secret of a router")).issue(BINDING);
    assertThat(sessions.verify("north-survey", token)).isEmpty();
  }

  @Test
  void tokenWithAnyByteChangedIsRejected() {
    byte[] token = Base64.getUrlDecoder().decode(sessions.issue(BINDING));
    for (int i = 0; i < token.length; i++) {
      byte[] changed = token.clone();
      changed[i] ^= 1;
      String text = Base64.getUrlEncoder().withoutPadding().encodeToString(changed);
      assertThat(sessions.verify("north-survey", text)).isEmpty();
    }
  }

  static Stream<String> malformed() {
    return Stream.of("", "a", "not base64!", "AAAA", "=", "A".repeat(10_000), "A".repeat(64));
  }

  @ParameterizedTest
  @MethodSource("malformed")
  void malformedTokenIsRejected(String token) {
    assertThat(sessions.verify("north-survey", token)).isEmpty();
  }

  @Test
  void shortSecretIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> HmacSessionTokens.create(bytes("short")));
  }
}
