package org.currantslip.core.relay;

import java.util.TreeMap;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.RequestRelay;
import org.currantslip.schema.PeerFrame;

/** Receiving side of one relayed request: order of the messages, and credit for the peer. */
final class OutgoingRelay {
  /** Bytes that a peer may send beyond what the caller has read. */
  static final int WINDOW_BYTES = 64 << 10;

  /** A caller with less unread data does not hold up its response. */
  private static final long MAX_BACKLOG_BYTES = 64 << 10;

  /** A message that another link delivers is later by no more than this. */
  private static final long MAX_GAP_MS = 1_000;

  private final String peer;
  private final RequestRelay.Terms terms;
  private final RequestRelay.Listener listener;
  private final TreeMap<Long, PeerFrame> early = new TreeMap<>();
  private long nextSequence;
  private long gapSinceMs;
  private int owedCredit;
  private boolean fromEndpoint;
  private boolean ended;

  private OutgoingRelay(String peer, RequestRelay.Terms terms, RequestRelay.Listener listener) {
    this.peer = peer;
    this.terms = terms;
    this.listener = listener;
  }

  static OutgoingRelay create(
      String peer, RequestRelay.Terms terms, RequestRelay.Listener listener) {
    return new OutgoingRelay(peer, terms, listener);
  }

  String peer() {
    return peer;
  }

  RequestRelay.Listener listener() {
    return listener;
  }

  /** Ends the relay; later messages are ignored. Returns whether it was open. */
  boolean end() {
    boolean wasOpen = !ended;
    ended = true;
    early.clear();
    return wasOpen;
  }

  boolean isEnded() {
    return ended;
  }

  /** Handles a message in its turn, and those that have waited for it. */
  void onFrame(long sequence, PeerFrame frame, long nowMs) {
    if (ended || sequence < nextSequence) {
      return;
    }
    if (early.isEmpty()) {
      gapSinceMs = nowMs;
    }
    early.put(sequence, frame);
    while (!ended && !early.isEmpty() && early.firstKey() == nextSequence) {
      PeerFrame next = early.pollFirstEntry().getValue();
      nextSequence++;
      gapSinceMs = nowMs;
      handle(next);
    }
  }

  private void handle(PeerFrame frame) {
    switch (frame.getBodyCase()) {
      case RELAY_HEAD -> {
        fromEndpoint = frame.getRelayHead().getFromEndpoint();
        if (fromEndpoint) {
          listener.onRelayHead(RelayCodec.head(frame.getRelayHead()));
        }
      }
      case RELAY_DATA -> {
        owedCredit += frame.getRelayData().getData().size();
        if (fromEndpoint) {
          listener.onRelayData(frame.getRelayData().getData());
        }
      }
      case RELAY_END -> {
        end();
        if (frame.getRelayEnd().getCode() == ResultCode.OK.number()) {
          listener.onRelayComplete();
        } else {
          listener.onRelayRefused(RelayCodec.refusal(frame.getRelayEnd()));
        }
      }
      default -> throw new IllegalArgumentException("no message of a relay");
    }
  }

  /** Returns whether a message has been missing for so long that it must be lost. */
  boolean hasLostMessage(long nowMs) {
    return !early.isEmpty() && nowMs - gapSinceMs >= MAX_GAP_MS;
  }

  /** Returns the credit that is due to the peer; zero if none is due. */
  int dueCredit() {
    return owedCredit < WINDOW_BYTES / 2 || terms.backlogBytes().getAsLong() > MAX_BACKLOG_BYTES
        ? 0
        : owedCredit;
  }

  void onCreditSent(int bytes) {
    owedCredit -= bytes;
  }
}
