package org.currantslip.adapter.http;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.SocketAddressResolver;

/**
 * Resolves literal IP addresses at once, on the calling thread, and leaves host names, whose
 * look-up may block, to another resolver.
 */
final class LiteralAddressResolver implements SocketAddressResolver {
  private final SocketAddressResolver names;

  private LiteralAddressResolver(SocketAddressResolver names) {
    this.names = names;
  }

  static LiteralAddressResolver before(SocketAddressResolver names) {
    return new LiteralAddressResolver(names);
  }

  @Override
  public void resolve(
      String host,
      int port,
      Map<String, Object> context,
      Promise<List<InetSocketAddress>> promise) {
    if (InetAddresses.isInetAddress(host)) {
      promise.succeeded(List.of(new InetSocketAddress(InetAddresses.forString(host), port)));
    } else {
      names.resolve(host, port, context, promise);
    }
  }
}
