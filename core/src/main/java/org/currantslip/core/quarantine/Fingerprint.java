package org.currantslip.core.quarantine;

/**
 * Identifies what several requests may share: a prompt part as one service gets it, or all that
 * makes a request the same when it comes again.
 *
 * @param service service that gets the part; empty for a whole request, which routes may send to
 *     any of their services
 */
record Fingerprint(String service, String id) {
  static Fingerprint ofRequest(String id) {
    return new Fingerprint("", id);
  }

  boolean isRequest() {
    return service.isEmpty();
  }
}
