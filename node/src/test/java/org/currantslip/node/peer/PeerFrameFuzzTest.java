package org.currantslip.node.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.ByteBuffer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.currantslip.schema.Hello;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Checks that arbitrary bytes on a peer port never reach the decision thread. */
final class PeerFrameFuzzTest {
  private static final String SECRET = "secret-of-all-the-nodes";
  private static final NodeRecord SELF =
      NodeRecord.newBuilder().setId(NodeId.newBuilder().setName("a").setIncarnation(1)).build();

  /** Counts the events that would reach the decision thread. */
  private static final class CountingListener implements LinkListener {
    private int openedLinks;
    private int receivedFrames;

    @Override
    public void onOpen(PeerLink link) {
      openedLinks++;
    }

    @Override
    public void onFrame(PeerLink link, PeerFrame frame) {
      receivedFrames++;
    }

    @Override
    public void onClosed(PeerLink link) {}

    @Override
    public void onOpenFailed(String node, String reason) {}
  }

  private final CountingListener listener = new CountingListener();

  private EmbeddedChannel channel() {
    PeerOptions options = new PeerOptions("", 0, SECRET, 8_192, 8, 1_000, 60_000);
    EmbeddedChannel channel = new EmbeddedChannel();
    PeerPipeline.addCodecs(channel.pipeline(), options);
    channel
        .pipeline()
        .addLast(
            LinkHandler.create(
                Handshake.forResponder(SELF, HelloMac.of(SECRET), 7),
                "",
                options,
                () -> 0,
                Runnable::run,
                listener));
    return channel;
  }

  private static byte[] framed(byte[] body) {
    return ByteBuffer.allocate(Integer.BYTES + body.length).putInt(body.length).put(body).array();
  }

  @Property(tries = 500, seed = "1")
  void rawBytesOpenNoLink(@ForAll byte[] bytes) {
    EmbeddedChannel channel = channel();

    channel.writeInbound(Unpooled.wrappedBuffer(bytes));

    assertThat(listener.openedLinks).isEqualTo(0);
    assertThat(listener.receivedFrames).isEqualTo(0);
    channel.finishAndReleaseAll();
  }

  @Property(tries = 500, seed = "2")
  void framedBytesOpenNoLink(@ForAll @Size(max = 200) byte[] body) {
    EmbeddedChannel channel = channel();

    channel.writeInbound(Unpooled.wrappedBuffer(framed(body)));

    assertThat(listener.openedLinks).isEqualTo(0);
    assertThat(listener.receivedFrames).isEqualTo(0);
    channel.finishAndReleaseAll();
  }

  @Property(tries = 500, seed = "3")
  void wrongMacsOpenNoLink(@ForAll long nonce, @ForAll @Size(max = 64) byte[] mac) {
    EmbeddedChannel channel = channel();
    Hello first = Hello.newBuilder().setNode(SELF).setNonce(nonce).build();
    Hello last = first.toBuilder().setMac(ByteString.copyFrom(mac)).build();

    for (Hello hello : new Hello[] {first, last}) {
      byte[] body = PeerFrame.newBuilder().setHello(hello).build().toByteArray();
      channel.pipeline().fireChannelRead(Unpooled.wrappedBuffer(framed(body)));
    }

    channel.runPendingTasks();
    assertThat(listener.openedLinks).isEqualTo(0);
    assertThat(channel.isOpen()).isFalse();
    channel.finishAndReleaseAll();
  }
}
