package org.currantslip.core.request;

/** A call to an endpoint that is in progress. */
public interface EndpointCall {
  /** Cancels the call and closes its connection; no further events are delivered. */
  void cancel();
}
