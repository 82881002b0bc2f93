package org.currantslip.core.port;

import java.util.List;

/**
 * Changes to the objects of one kind since a revision.
 *
 * @param changes changes in the order in which they occurred
 * @param position position of the store up to which all changes are included
 * @param complete whether the list is known to be complete; a store that discards history may omit
 *     changes
 */
public record KindChanges(List<Change> changes, StorePosition position, boolean complete) {
  /**
   * A change to one object.
   *
   * @param object the object after the change, or its last state if it was removed
   * @param removed whether the object was removed
   */
  public record Change(KindObject object, boolean removed) {}
}
