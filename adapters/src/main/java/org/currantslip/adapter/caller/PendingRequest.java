package org.currantslip.adapter.caller;

import org.currantslip.core.request.RouterRequest;

/** A request whose head was accepted and whose body is still to come. */
@FunctionalInterface
public interface PendingRequest {
  /**
   * Returns the request.
   *
   * @param id id given by this node
   * @throws org.currantslip.core.common.RefusalException if the body cannot be accepted
   */
  RouterRequest complete(String id, byte[] body);
}
