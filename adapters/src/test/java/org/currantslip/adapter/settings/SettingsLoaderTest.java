package org.currantslip.adapter.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.currantslip.schema.NodeSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsLoaderTest {
  private static final String REQUIRED_KEYS =
      """
      name = "n1"
      region = "r"
      failure_domain = "d"
      """;
  private static final String REQUIRED_TABLES =
      """
      [caller]
      host = "127.0.0.1"
      port = 1
      [peer]
      host = "127.0.0.1"
      port = 2
      [admin]
      host = "127.0.0.1"
      port = 3
      [platform]
      object_api = "http://h:1"
      vm_list = "http://h:2"
      """;

  @Test
  void appliesDefaults() throws SettingsException {
    NodeSettings settings =
        SettingsLoader.loadNode(REQUIRED_KEYS + REQUIRED_TABLES + "[limits]\nmax_in_flight = 7\n");
    assertThat(settings.getLimits().getMaxInFlight()).isEqualTo(7);
    assertThat(settings.getLimits().getMaxBodyBytes()).isEqualTo(1_048_576);
    assertThat(settings.getTimeouts().getStoreMs()).isEqualTo(2_000);
    assertThat(settings.getLog().getFormat()).isEqualTo("json");
  }

  @Test
  void readsNumbersAboveTheSignedRange() throws SettingsException {
    NodeSettings settings =
        SettingsLoader.loadNode(
            REQUIRED_KEYS + REQUIRED_TABLES + "[timeouts]\nkey_window_ms = 2592000000\n");
    assertThat(Integer.toUnsignedLong(settings.getTimeouts().getKeyWindowMs()))
        .isEqualTo(2_592_000_000L);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[timeouts]~store_ms = \"5s\" | timeouts.store_ms 7003",
        "[timeouts]~store_ms = 5.5 | timeouts.store_ms 7003",
        "[timeouts]~store_s = 5 | timeouts.store_s 7001",
        "[timeouts]~store_ms = 1 | timeouts.store_ms 7004",
        "[timeouts]~store_ms = 99999999999999999999 | timeouts.store_ms 7004",
        "[timeouts]~peer_silent_ms = 600~heartbeat_ms = 500 | timeouts.peer_silent_ms 7004",
        "[log]~format = \"xml\" | log.format 7005",
        "[[account]]~name = \"a\" | account[0].token 7002",
        "[[account]]~name = \"A b\"~token = \"0123456789abcdef\" | account[0].name 7005",
        "[[service]]~name = \"s\"~[[service]]~name = \"s\" | service.name 7004",
        "[[account]]~name = \"a\"~token = \"0123456789abcdef\"~"
            + "[[operator]]~name = \"o\"~token = \"0123456789abcdef\" | token 7004",
        "[colour]~x = 1 | colour 7001",
        "[security]~peer_secret = \"short\" | security.peer_secret 7004",
      })
  void reportsKeyAndResultCode(String addition, String expected) {
    assertThat(problems(REQUIRED_KEYS + REQUIRED_TABLES + addition.replace('~', '\n')))
        .isEqualTo(expected);
  }

  @Test
  void reportsAllProblemsTogether() {
    String text =
        "name = 5\nregion = \"r\"\ncolour = 1\n" + REQUIRED_TABLES.replace("port = 2", "port = 0");
    assertThat(problems(text))
        .isEqualTo("colour 7001, name 7003, failure_domain 7002, peer.port 7004");
  }

  @Test
  void errorMessagesOmitMisplacedSecrets() {
    SettingsException e =
        assertThrows(
            SettingsException.class,
            () ->
                SettingsLoader.loadNode(
                    REQUIRED_KEYS + REQUIRED_TABLES + "[limits]\nmax_in_flight = \"hush\"\n"));
    assertThat(e.getMessage()).doesNotContain("hush");
  }

  @Property(tries = 1000, seed = "20240612")
  void malformedInputFailsOnlyWithSettingsCodes(@ForAll("texts") String text) {
    try {
      assertThat(SettingsLoader.loadNode(text).getName()).isNotEmpty();
    } catch (SettingsException e) {
      assertThat(e.problems()).isNotEmpty();
      e.problems().forEach(p -> assertThat(p.code().number() / 1000).isEqualTo(7));
    }
  }

  @Provide
  Arbitrary<String> texts() {
    String validToml = REQUIRED_KEYS + REQUIRED_TABLES;
    Arbitrary<String> withReplacedChar =
        Arbitraries.integers()
            .between(0, validToml.length() - 1)
            .flatMap(
                index ->
                    Arbitraries.chars()
                        .map(
                            replacement ->
                                validToml.substring(0, index)
                                    + replacement
                                    + validToml.substring(index + 1)));
    Arbitrary<String> withoutStart =
        Arbitraries.integers()
            .between(0, validToml.length())
            .map(index -> validToml.substring(index));
    return Arbitraries.oneOf(
        withReplacedChar, withoutStart, Arbitraries.strings().ofMaxLength(100));
  }

  private static String problems(String toml) {
    SettingsException e =
        assertThrows(SettingsException.class, () -> SettingsLoader.loadNode(toml));
    return e.problems().stream()
        .map(p -> p.key() + " " + p.code().number())
        .collect(Collectors.joining(", "));
  }
}
