package org.currantslip.core.request;

import org.currantslip.schema.EndpointRecord;

/** Starts calls to endpoints. */
public interface EndpointClient {
  /** Starts a call. The listener is invoked on the thread that owns the request. */
  EndpointCall start(EndpointRecord endpoint, EndpointRequest request, EndpointListener listener);
}
