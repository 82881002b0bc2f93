package org.currantslip.adapter.http;

import java.net.URI;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request whose method and target are sent as given. The client's own requests change methods to
 * upper case, and take what follows two slashes at the beginning of a target for a host.
 */
public final class LiteralRequest extends HttpRequest {
  private static final Pattern MALFORMED_ENCODING = Pattern.compile("%(?!\\p{XDigit}{2})");

  private final String method;
  private final String target;

  private LiteralRequest(HttpClient client, URI server, String method, String target) {
    super(client, new HttpConversation(), server);
    this.method = method;
    this.target = target;
  }

  /**
   * Returns a request.
   *
   * @param server scheme, host and port of the server
   * @param target path with the query, in origin form (RFC 9112, section 3.2.1)
   * @throws IllegalArgumentException if the target cannot be sent
   */
  public static LiteralRequest create(HttpClient client, URI server, String method, String target) {
    if (!isValidTarget(target)) {
      throw new IllegalArgumentException("malformed percent-encoding in target " + target);
    }
    return new LiteralRequest(client, server, method, target);
  }

  /** Returns whether each percent sign begins an encoded byte (RFC 3986, section 2.1). */
  public static boolean isValidTarget(String target) {
    return !MALFORMED_ENCODING.matcher(target).find();
  }

  @Override
  public String getMethod() {
    return method;
  }

  @Override
  public String getPath() {
    return target;
  }

  @Override
  public @Nullable String getQuery() {
    return null;
  }
}
