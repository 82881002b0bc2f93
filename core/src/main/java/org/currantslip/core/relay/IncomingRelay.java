package org.currantslip.core.relay;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.function.Predicate;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.RequestHandle;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.RelayData;
import org.currantslip.schema.RelayEnd;
import org.jspecify.annotations.Nullable;

/** Sending side of one relayed request: passes its response to the peer as credit permits. */
final class IncomingRelay implements CallerSink {
  private static final int CHUNK_BYTES = 32 << 10;

  /** As for callers of this node: one that falls further behind with a stream is given up. */
  private static final long MAX_PENDING_BYTES = 1 << 20;

  private final long id;
  private final long incarnation;
  private final long deadlineMs;
  private final Predicate<PeerFrame> send;
  private final ArrayDeque<PeerFrame> pending = new ArrayDeque<>();
  private @Nullable RequestHandle handle;
  private volatile boolean abandoned;
  private long credit;
  private long pendingBytes;
  private long sequence;
  private boolean streaming;
  private boolean finished;

  private IncomingRelay(
      long id, long incarnation, long deadlineMs, long credit, Predicate<PeerFrame> send) {
    this.id = id;
    this.incarnation = incarnation;
    this.deadlineMs = deadlineMs;
    this.credit = credit;
    this.send = send;
  }

  /**
   * Creates a relay.
   *
   * @param send sends a frame to the peer and returns whether its link took it
   */
  static IncomingRelay create(
      long id, long incarnation, long deadlineMs, long credit, Predicate<PeerFrame> send) {
    return new IncomingRelay(id, incarnation, deadlineMs, credit, send);
  }

  void setHandle(RequestHandle requestHandle) {
    handle = requestHandle;
  }

  long deadlineMs() {
    return deadlineMs;
  }

  long pendingBytes() {
    return pendingBytes;
  }

  /** Returns whether nothing more is sent. */
  boolean isDone() {
    return pending.isEmpty() && (abandoned || finished);
  }

  /** Ends the request because its caller, or the peer, has left. */
  void cancel() {
    if (abandoned) {
      return;
    }
    abandoned = true;
    pending.clear();
    pendingBytes = 0;
    RequestHandle current = handle;
    if (current != null && !finished) {
      current.onCallerDisconnected();
    }
  }

  void addCredit(int bytes) {
    credit += bytes;
    flush();
  }

  @Override
  public boolean isAbandoned() {
    return abandoned;
  }

  @Override
  public long backlogBytes() {
    return pendingBytes;
  }

  @Override
  public void head(ResponseHead head) {
    if (abandoned) {
      return;
    }
    streaming = head.stream();
    add(
        PeerFrame.newBuilder()
            .setRelayHead(
                RelayCodec.head(head)
                    .setRelayId(id)
                    .setOriginIncarnation(incarnation)
                    .setSequence(sequence++))
            .build());
  }

  @Override
  public void data(ByteString data) {
    if (abandoned) {
      return;
    }
    // An event stays whole, as it is passed on whole.
    int step = streaming ? Math.max(1, data.size()) : CHUNK_BYTES;
    for (int from = 0; from < data.size(); from += step) {
      ByteString part = data.substring(from, Math.min(data.size(), from + step));
      pendingBytes += part.size();
      add(
          PeerFrame.newBuilder()
              .setRelayData(
                  RelayData.newBuilder()
                      .setRelayId(id)
                      .setOriginIncarnation(incarnation)
                      .setSequence(sequence++)
                      .setData(part))
              .build());
    }
    if (streaming && pendingBytes > MAX_PENDING_BYTES) {
      endSlowStream();
    }
  }

  private void endSlowStream() {
    long next = sequence - pending.size();
    cancel();
    add(
        PeerFrame.newBuilder()
            .setRelayEnd(
                RelayEnd.newBuilder()
                    .setRelayId(id)
                    .setOriginIncarnation(incarnation)
                    .setSequence(next)
                    .setCode(ResultCode.CALLER_GONE.number())
                    .setRan(Ran.YES.text())
                    .setDetail("the caller reads too slowly"))
            .build());
  }

  @Override
  public void finish(ResponseHead end) {
    if (abandoned) {
      return;
    }
    finished = true;
    add(
        PeerFrame.newBuilder()
            .setRelayEnd(
                RelayCodec.end(end)
                    .setRelayId(id)
                    .setOriginIncarnation(incarnation)
                    .setSequence(sequence++))
            .build());
  }

  private void add(PeerFrame frame) {
    pending.add(frame);
    flush();
  }

  /** Sends what credit and the link permit. */
  void flush() {
    for (PeerFrame next = pending.peek(); next != null; next = pending.peek()) {
      int bytes = next.getRelayData().getData().size();
      if ((bytes > 0 && credit <= 0) || !send.test(next)) {
        return;
      }
      pending.remove();
      credit -= bytes;
      pendingBytes -= bytes;
    }
  }
}
