package org.currantslip.core.request;

/** A call to an endpoint under way. */
public interface EndpointCall {
  /** Ends the call and closes its connection; no event follows. */
  void cancel();
}
