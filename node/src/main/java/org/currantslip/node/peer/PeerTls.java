package org.currantslip.node.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;
import org.currantslip.schema.SecuritySettings;
import org.jspecify.annotations.Nullable;

/**
 * TLS of the peer links, read anew for the next link when one of its files has changed.
 *
 * <p>Both sides show a certificate of the same authority. Names are not compared, as nodes are
 * called by number; the handshake above proves the node.
 */
public final class PeerTls {
  private record Contexts(SslContext opener, SslContext accepter, long stamp) {}

  private final List<File> files;
  private @Nullable Contexts contexts;

  private PeerTls(List<File> files) {
    this.files = files;
  }

  /** Returns no TLS. */
  public static PeerTls none() {
    return new PeerTls(List.of());
  }

  /**
   * Returns the TLS that the settings name.
   *
   * @throws SSLException if the files cannot be used
   */
  public static PeerTls from(SecuritySettings security) throws SSLException {
    if (security.getTlsCertificateFile().isEmpty()) {
      return none();
    }
    PeerTls tls =
        new PeerTls(
            List.of(
                new File(security.getTlsCertificateFile()),
                new File(security.getTlsKeyFile()),
                new File(security.getTlsCaFile())));
    tls.contexts = tls.load();
    return tls;
  }

  /** Returns the handler for a new link, if there is TLS. */
  synchronized Optional<ChannelHandler> handler(ByteBufAllocator alloc, boolean opener) {
    Contexts current = current();
    return Optional.ofNullable(current)
        .map(c -> (opener ? c.opener() : c.accepter()).newHandler(alloc));
  }

  private @Nullable Contexts current() {
    Contexts now = contexts;
    if (now == null || now.stamp() == stamp()) {
      return now;
    }
    try {
      now = load();
      contexts = now;
      EventLog.write(LogEvent.TLS_RELOADED, "");
    } catch (SSLException e) {
      EventLog.write(LogEvent.TLS_UNUSABLE, "reason=" + e.getMessage());
    }
    return now;
  }

  private Contexts load() throws SSLException {
    long stamp = stamp();
    File certificate = files.get(0);
    File key = files.get(1);
    File authority = files.get(2);
    try {
      SslContext opener =
          SslContextBuilder.forClient()
              .keyManager(certificate, key)
              .trustManager(authority)
              .endpointIdentificationAlgorithm("")
              .build();
      SslContext accepter =
          SslContextBuilder.forServer(certificate, key)
              .trustManager(authority)
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      return new Contexts(opener, accepter, stamp);
    } catch (IllegalArgumentException e) {
      throw new SSLException(e);
    }
  }

  /** Returns a number that changes when a file does. */
  private long stamp() {
    return files.stream().mapToLong(f -> 31 * f.lastModified() + f.length()).sum();
  }
}
