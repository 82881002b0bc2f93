package org.currantslip.node.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.currantslip.schema.PeerFrame;

/** Installs the codecs of a peer link: protobuf messages with a four-byte length prefix. */
final class PeerPipeline {
  private static final String FRAME_DECODER = "frames";
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int MAX_HELLO_BYTES = 4_096;

  private PeerPipeline() {}

  static void addCodecs(ChannelPipeline pipeline, PeerOptions options) {
    pipeline.addLast(
        new IdleStateHandler(
            options.idleTimeoutMs(), options.heartbeatMs(), 0, TimeUnit.MILLISECONDS));
    pipeline.addLast(FRAME_DECODER, frameDecoder(MAX_HELLO_BYTES));
    pipeline.addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    pipeline.addLast(new ProtobufEncoder());
  }

  /** Raises the frame limit from that of a hello, once the peer is authenticated. */
  static void raiseFrameLimit(ChannelPipeline pipeline, int maxFrameBytes) {
    pipeline.replace(FRAME_DECODER, FRAME_DECODER, frameDecoder(maxFrameBytes));
  }

  private static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
    return new LengthFieldBasedFrameDecoder(
        maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
  }
}
