package org.currantslip.node.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.currantslip.schema.PeerFrame;

/** The codecs of a peer link: a four-byte length and a protobuf message. */
final class PeerPipeline {
  private static final String FRAMES = "frames";
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_HELLO_BYTES = 4_096;

  private PeerPipeline() {}

  static void addCodecs(ChannelPipeline pipeline, PeerOptions options) {
    pipeline.addLast(
        new IdleStateHandler(options.silentMs(), options.heartbeatMs(), 0, TimeUnit.MILLISECONDS));
    pipeline.addLast(FRAMES, decoder(MAX_HELLO_BYTES));
    pipeline.addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new ProtobufEncoder());
  }

  /** Lifts the bound on frames from that of a hello once the peer is authenticated. */
  static void allowWholeFrames(ChannelPipeline pipeline, int maxFrameBytes) {
    pipeline.replace(FRAMES, FRAMES, decoder(maxFrameBytes));
  }

  private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }
}
