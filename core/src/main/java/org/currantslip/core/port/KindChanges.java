package org.currantslip.core.port;

import java.util.List;

/**
 * Changes of one kind since a revision.
 *
 * @param changes changes in the order in which they happened
 * @param revision store revision up to which all changes are included
 * @param proved whether none can be missing; a store that drops its history may leave some out
 */
public record KindChanges(List<Change> changes, long revision, boolean proved) {
  /**
   * One change.
   *
   * @param object the object after the change, or its last state when it was removed
   * @param removed whether it is gone
   */
  public record Change(KindObject object, boolean removed) {}
}
