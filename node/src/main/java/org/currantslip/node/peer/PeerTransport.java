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

/** Opens and accepts connections between nodes. */
final class PeerTransport {
  private static final int THREADS = 2;
  private static final int LOW_WATER_BYTES = 1 << 20;
  private static final int HIGH_WATER_BYTES = 4 << 20;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final NodeRecord self;
  private final PeerOptions options;
  private final PeerTls tls;
  private final Clock clock;
  private final Executor decisions;
  private final LinkEvents events;
  private final HelloMac mac;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private @Nullable Channel server;

  private PeerTransport(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisions,
      LinkEvents events) {
    this.self = self;
    this.options = options;
    this.tls = tls;
    this.clock = clock;
    this.decisions = decisions;
    this.events = events;
    mac = HelloMac.of(options.secret());
  }

  static PeerTransport create(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisions,
      LinkEvents events) {
    return new PeerTransport(self, options, tls, clock, decisions, events);
  }

  int listen() throws InterruptedException {
    Channel bound =
        new ServerBootstrap()
            .group(group)
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
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.silentMs())
        .option(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
        .handler(initializer(node))
        .connect(target.getHost(), target.getPort())
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                String why = Strings.nullToEmpty(done.cause().getMessage());
                decisions.execute(() -> events.onOpenFailed(node, why));
              }
            });
  }

  private ChannelInitializer<SocketChannel> initializer(String expected) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        init(channel, expected);
      }
    };
  }

  private void init(SocketChannel channel, String expected) {
    if (channels.size() >= options.maxLinks()) {
      channel.close();
      return;
    }
    channels.add(channel);
    boolean opener = !expected.isEmpty();
    tls.handler(channel.alloc(), opener).ifPresent(channel.pipeline()::addLast);
    PeerPipeline.addCodecs(channel.pipeline(), options);
    long nonce = RANDOM.nextLong();
    Handshake handshake =
        opener ? Handshake.opening(self, mac, nonce) : Handshake.accepting(self, mac, nonce);
    channel
        .pipeline()
        .addLast(LinkHandler.create(handshake, expected, options, clock, decisions, events));
  }

  void close() {
    if (server != null) {
      server.close();
    }
    channels.close();
    group.shutdownGracefully();
  }
}
