package org.currantslip.adapter.caller;

import org.currantslip.core.request.RouterRequest;

/** A request whose head has been accepted and whose body has not been received yet. */
@FunctionalInterface
public interface PendingRequest {
  /**
   * Builds the request from its body.
   *
   * @param id request id assigned by this node
   * @throws org.currantslip.core.common.RefusalException if the body cannot be accepted
   */
  RouterRequest complete(String id, byte[] body);
}
