package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/** Hands requests over to peers that reach endpoints. */
public interface RequestRelay {
  /**
   * Terms of a hand-over.
   *
   * @param deadlineMs time at which the response is due
   * @param lastEventId id of the last event that the caller has, or empty
   * @param allowedRegion returns whether the request may be passed to nodes of a region
   * @param excluded names of peers that are not to be asked
   * @param earlierRuns endpoints that may have run the request before
   * @param backlogBytes returns how many bytes of the response the caller has not read yet
   */
  record Terms(
      long deadlineMs,
      String lastEventId,
      Predicate<String> allowedRegion,
      Set<String> excluded,
      int earlierRuns,
      LongSupplier backlogBytes) {}

  /**
   * Head of a relayed response.
   *
   * @param stream whether the response is passed on event by event
   */
  record Head(EndpointResponseHead endpointHead, boolean stream, String model, String version) {}

  /** Receives what becomes of a request that a peer has been asked to run. */
  interface Listener {
    /** Called for the head of an endpoint's response. */
    void onRelayHead(Head head);

    /** Called for one event, or for a part of the body. */
    void onRelayData(ByteString data);

    /** Called when the response is complete. */
    void onRelayComplete();

    /** Called when the peer, or its flow of the request, refuses or fails it. */
    void onRelayRefused(RefusalException refusal);

    /**
     * Called when the peer is lost.
     *
     * @param sent whether the peer may have received the request
     */
    void onRelayLost(boolean sent, String detail);
  }

  /** A request that a peer has been asked to run. */
  interface Handle {
    /** Returns the name of the peer. */
    String peer();

    /** Ends the relay because its response is no longer needed; no further events are delivered. */
    void cancel();
  }

  /** Asks a peer to run a request; returns empty if none can be asked. */
  Optional<Handle> start(RouterRequest request, Terms terms, Listener listener);

  /** Returns a relay without peers. */
  static RequestRelay none() {
    return (request, terms, listener) -> Optional.empty();
  }

  /** Returns whether another peer may take a request that was refused with this code. */
  static boolean mayOtherPeerTake(ResultCode code) {
    return switch (code) {
      case NO_ENDPOINT, NO_PATH, NODE_LEAVING, NODE_STARTING, OVERLOADED, TOO_MANY_IN_FLIGHT ->
          true;
      default -> false;
    };
  }
}
