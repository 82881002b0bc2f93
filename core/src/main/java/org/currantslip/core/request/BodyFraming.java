package org.currantslip.core.request;

/** How a response marks the end of its body (RFC 9112, section 6.3). */
public enum BodyFraming {
  /** By its declared length, or by having no body. */
  LENGTH,
  /** By its last chunk. */
  CHUNKED,
  /** By closing the connection, which a broken connection may look like. */
  CONNECTION_CLOSE
}
