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

/** Netty handler that authenticates a connection and passes its frames to the decision thread. */
final class LinkHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private final Handshake handshake;
  private final String expectedNode;
  private final PeerOptions options;
  private final Clock clock;
  private final Executor decisionThread;
  private final LinkListener listener;
  private @Nullable PeerLink link;
  private String closeReason = "connection closed";

  private LinkHandler(
      Handshake handshake,
      String expectedNode,
      PeerOptions options,
      Clock clock,
      Executor decisionThread,
      LinkListener listener) {
    this.handshake = handshake;
    this.expectedNode = expectedNode;
    this.options = options;
    this.clock = clock;
    this.decisionThread = decisionThread;
    this.listener = listener;
  }

  /**
   * Returns the handler for one connection.
   *
   * @param expectedNode name of the node being connected to; empty for an accepted connection
   */
  static LinkHandler create(
      Handshake handshake,
      String expectedNode,
      PeerOptions options,
      Clock clock,
      Executor decisionThread,
      LinkListener listener) {
    return new LinkHandler(handshake, expectedNode, options, clock, decisionThread, listener);
  }

  private boolean isInitiator() {
    return !expectedNode.isEmpty();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    handshake.initialHellos().forEach(hello -> send(ctx, hello));
    ctx.executor()
        .schedule(
            () -> closeIfNotAuthenticated(ctx), options.idleTimeoutMs(), TimeUnit.MILLISECONDS);
  }

  private void closeIfNotAuthenticated(ChannelHandlerContext ctx) {
    if (link == null) {
      closeReason = "handshake timed out";
      ctx.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    PeerLink current = link;
    if (current == null) {
      if (!frame.hasHello()) {
        throw HandshakeException.of("frame received before the handshake");
      }
      handshake.onHello(frame.getHello()).forEach(hello -> send(ctx, hello));
      NodeRecord peer = handshake.peer();
      if (peer != null) {
        onAuthenticated(ctx, peer);
      }
    } else if (frame.hasHello()) {
      throw HandshakeException.of("hello after the handshake");
    } else if (frame.getBodyCase() != PeerFrame.BodyCase.BODY_NOT_SET) {
      decisionThread.execute(() -> listener.onFrame(current, frame));
    }
  }

  private void onAuthenticated(ChannelHandlerContext ctx, NodeRecord peer) {
    if (isInitiator() && !peer.getId().getName().equals(expectedNode)) {
      throw HandshakeException.of("peer at this address has a different node name");
    }
    PeerLink opened = PeerLink.of(ctx.channel(), peer, isInitiator(), clock.nowMs());
    link = opened;
    PeerPipeline.raiseFrameLimit(ctx.pipeline(), options.maxFrameBytes());
    decisionThread.execute(() -> listener.onOpen(opened));
  }

  private static void send(ChannelHandlerContext ctx, Hello hello) {
    ctx.writeAndFlush(PeerFrame.newBuilder().setHello(hello).build());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent idle) {
      if (idle.state() == IdleState.READER_IDLE) {
        closeReason = "no frame received within the idle timeout";
        ctx.close();
      } else if (link != null) {
        ctx.writeAndFlush(PeerFrame.getDefaultInstance());
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    PeerLink closed = link;
    String failureReason = closeReason;
    if (closed != null) {
      decisionThread.execute(() -> listener.onClosed(closed));
    } else if (isInitiator()) {
      decisionThread.execute(() -> listener.onOpenFailed(expectedNode, failureReason));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    closeReason = Strings.nullToEmpty(cause.getMessage());
    LogEvent event = link == null ? LogEvent.LINK_REFUSED : LogEvent.LINK_CLOSED;
    EventLog.write(event, "address=" + ctx.channel().remoteAddress() + " reason=" + closeReason);
    ctx.close();
  }
}
