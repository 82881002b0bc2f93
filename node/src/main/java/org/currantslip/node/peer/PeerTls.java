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
 * TLS for the peer links. A changed file is reloaded when the next link is opened.
 *
 * <p>Both sides present a certificate issued by the same authority. Host names are not verified,
 * because nodes connect by IP address; the handshake that follows authenticates the node.
 */
public final class PeerTls {
  private record Contexts(SslContext initiator, SslContext responder, long fingerprint) {}

  private final List<File> files;
  private @Nullable Contexts contexts;

  private PeerTls(List<File> files) {
    this.files = files;
  }

  /** Returns an instance that leaves links unencrypted. */
  public static PeerTls none() {
    return new PeerTls(List.of());
  }

  /**
   * Loads the certificate, key and authority files given by the settings, if any.
   *
   * @throws SSLException if the files cannot be loaded
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

  /** Returns the handler for a new link, or empty if TLS is not configured. */
  synchronized Optional<ChannelHandler> handler(ByteBufAllocator alloc, boolean initiator) {
    Contexts current = currentContexts();
    return Optional.ofNullable(current)
        .map(c -> (initiator ? c.initiator() : c.responder()).newHandler(alloc));
  }

  private @Nullable Contexts currentContexts() {
    Contexts latest = contexts;
    if (latest == null || latest.fingerprint() == fingerprint()) {
      return latest;
    }
    try {
      latest = load();
      contexts = latest;
      EventLog.write(LogEvent.TLS_RELOADED, "");
    } catch (SSLException e) {
      EventLog.write(LogEvent.TLS_UNUSABLE, "reason=" + e.getMessage());
    }
    return latest;
  }

  private Contexts load() throws SSLException {
    long fingerprint = fingerprint();
    File certificate = files.get(0);
    File key = files.get(1);
    File authority = files.get(2);
    try {
      SslContext initiator =
          SslContextBuilder.forClient()
              .keyManager(certificate, key)
              .trustManager(authority)
              .endpointIdentificationAlgorithm("")
              .build();
      SslContext responder =
          SslContextBuilder.forServer(certificate, key)
              .trustManager(authority)
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      return new Contexts(initiator, responder, fingerprint);
    } catch (IllegalArgumentException e) {
      throw new SSLException(e);
    }
  }

  /** Returns a value computed from the modification times and sizes of all files. */
  private long fingerprint() {
    return files.stream().mapToLong(f -> 31 * f.lastModified() + f.length()).sum();
  }
}
