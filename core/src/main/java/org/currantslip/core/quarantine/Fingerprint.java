package org.currantslip.core.quarantine;

import org.jspecify.annotations.Nullable;

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

  // Written out: the generated methods run through method handles, which the JVM's first compiler,
  // the only one that nodes use, does not inline, and which each process links again.
  @Override
  public boolean equals(@Nullable Object obj) {
    return obj instanceof Fingerprint other && service.equals(other.service) && id.equals(other.id);
  }

  @Override
  public int hashCode() {
    return 31 * service.hashCode() + id.hashCode();
  }
}
