package org.currantslip.node.peer;

import com.google.common.base.Strings;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.Executor;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.NodeRecord;
import org.jspecify.annotations.Nullable;

/** Opens and accepts the TCP connections between nodes. */
final class PeerTransport {
  private static final int IO_THREADS = 1;
  private static final int LOW_WATER_BYTES = 1 << 20;
  private static final int HIGH_WATER_BYTES = 4 << 20;
  private static final SecureRandom SECURE_RANDOM = new SecureRandom();

  private final NodeRecord self;
  private final PeerOptions options;
  private final PeerTls tls;
  private final Clock clock;
  private final Executor decisionThread;
  private final LinkListener listener;
  private final HelloMac mac;
  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private @Nullable Channel server;

  private PeerTransport(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisionThread,
      LinkListener listener) {
    this.self = self;
    this.options = options;
    this.tls = tls;
    this.clock = clock;
    this.decisionThread = decisionThread;
    this.listener = listener;
    mac = HelloMac.of(options.secret());
  }

  static PeerTransport create(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisionThread,
      LinkListener listener) {
    return new PeerTransport(self, options, tls, clock, decisionThread, listener);
  }

  int listen() throws InterruptedException {
    Channel bound =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(initializer(""))
            .bind(options.host(), options.port())
            .sync()
            .channel();
    server = bound;
    return ((InetSocketAddress) bound.localAddress()).getPort();
  }

  void open(String node, String address) {
    HostAndPort target = HostAndPort.fromString(address);
    new Bootstrap()
        .group(eventLoopGroup)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.idleTimeoutMs())
        .option(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
        .handler(initializer(node))
        .connect(target.getHost(), target.getPort())
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                String reason = Strings.nullToEmpty(done.cause().getMessage());
                decisionThread.execute(() -> listener.onOpenFailed(node, reason));
              }
            });
  }

  private ChannelInitializer<SocketChannel> initializer(String expectedNode) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        initPipeline(channel, expectedNode);
      }
    };
  }

  private void initPipeline(SocketChannel channel, String expectedNode) {
    if (channels.size() >= options.maxLinks()) {
      channel.close();
      return;
    }
    channels.add(channel);
    boolean initiator = !expectedNode.isEmpty();
    tls.handler(channel.alloc(), initiator).ifPresent(channel.pipeline()::addLast);
    PeerPipeline.addCodecs(channel.pipeline(), options);
    long nonce = SECURE_RANDOM.nextLong();
    Handshake handshake =
        initiator
            ? Handshake.forInitiator(self, mac, nonce)
            : Handshake.forResponder(self, mac, nonce);
    channel
        .pipeline()
        .addLast(
            LinkHandler.create(handshake, expectedNode, options, clock, decisionThread, listener));
  }

  void close() {
    if (server != null) {
      server.close();
    }
    channels.close();
    eventLoopGroup.shutdownGracefully();
  }
}
