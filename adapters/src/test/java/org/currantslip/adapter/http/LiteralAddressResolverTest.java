package org.currantslip.adapter.http;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.util.Promise;
import org.junit.jupiter.api.Test;

/** Guards against a look-up of a host name that blocks the thread which sends a request. */
final class LiteralAddressResolverTest {
  private final List<String> lookedUp = new ArrayList<>();
  private final List<InetSocketAddress> resolved = new ArrayList<>();

  @Test
  void onlyLiteralAddressesAreResolvedAtOnce() {
    LiteralAddressResolver resolver =
        LiteralAddressResolver.before((host, port, context, promise) -> lookedUp.add(host));
    for (String host : List.of("127.0.0.1", "::1", "localhost", "vm.example", "1.2.3")) {
      resolver.resolve(host, 80, Map.of(), Promise.from(resolved::addAll, failure -> {}));
    }
    assertThat(resolved)
        .containsExactly(new InetSocketAddress("127.0.0.1", 80), new InetSocketAddress("::1", 80));
    assertThat(lookedUp).containsExactly("localhost", "vm.example", "1.2.3").inOrder();
  }
}
