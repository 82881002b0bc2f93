package org.currantslip.node.peer;

import com.google.common.base.Strings;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;
import org.currantslip.schema.Hello;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;

/** Authenticates one connection and passes its frames to the decision thread. */
final class LinkHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private final Handshake handshake;
  private final String expected;
  private final PeerOptions options;
  private final Clock clock;
  private final Executor decisions;
  private final LinkEvents events;
  private @Nullable PeerLink link;
  private String reason = "the connection was closed";

  private LinkHandler(
      Handshake handshake,
      String expected,
      PeerOptions options,
      Clock clock,
      Executor decisions,
      LinkEvents events) {
    this.handshake = handshake;
    this.expected = expected;
    this.options = options;
    this.clock = clock;
    this.decisions = decisions;
    this.events = events;
  }

  /** Returns the handler of a connection to {@code expected}; empty for an accepted one. */
  static LinkHandler create(
      Handshake handshake,
      String expected,
      PeerOptions options,
      Clock clock,
      Executor decisions,
      LinkEvents events) {
    return new LinkHandler(handshake, expected, options, clock, decisions, events);
  }

  private boolean isOpener() {
    return !expected.isEmpty();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    handshake.begin().forEach(hello -> send(ctx, hello));
    ctx.executor().schedule(() -> closeIfNotOpen(ctx), options.silentMs(), TimeUnit.MILLISECONDS);
  }

  private void closeIfNotOpen(ChannelHandlerContext ctx) {
    if (link == null) {
      reason = "no handshake in time";
      ctx.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    PeerLink open = link;
    if (open == null) {
      if (!frame.hasHello()) {
        throw HandshakeException.of("a frame before the handshake");
      }
      handshake.on(frame.getHello()).forEach(hello -> send(ctx, hello));
      NodeRecord peer = handshake.peer();
      if (peer != null) {
        open(ctx, peer);
      }
    } else if (frame.hasHello()) {
      throw HandshakeException.of("hello on an open link");
    } else if (frame.getBodyCase() != PeerFrame.BodyCase.BODY_NOT_SET) {
      decisions.execute(() -> events.onFrame(open, frame));
    }
  }

  private void open(ChannelHandlerContext ctx, NodeRecord peer) {
    if (isOpener() && !peer.getId().getName().equals(expected)) {
      throw HandshakeException.of("another node answers at this address");
    }
    PeerLink open = PeerLink.of(ctx.channel(), peer, isOpener(), clock.nowMs());
    link = open;
    PeerPipeline.allowWholeFrames(ctx.pipeline(), options.maxFrameBytes());
    decisions.execute(() -> events.onOpen(open));
  }

  private static void send(ChannelHandlerContext ctx, Hello hello) {
    ctx.writeAndFlush(PeerFrame.newBuilder().setHello(hello).build());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent idle) {
      if (idle.state() == IdleState.READER_IDLE) {
        reason = "the peer is silent";
        ctx.close();
      } else if (link != null) {
        ctx.writeAndFlush(PeerFrame.getDefaultInstance());
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    PeerLink closed = link;
    String why = reason;
    if (closed != null) {
      decisions.execute(() -> events.onClosed(closed));
    } else if (isOpener()) {
      decisions.execute(() -> events.onOpenFailed(expected, why));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reason = Strings.nullToEmpty(cause.getMessage());
    LogEvent event = link == null ? LogEvent.LINK_REFUSED : LogEvent.LINK_CLOSED;
    EventLog.write(event, "address=" + ctx.channel().remoteAddress() + " reason=" + reason);
    ctx.close();
  }
}
