package org.currantslip.core.port;

import java.util.List;

/**
 * One page of a listing.
 *
 * @param objects objects ordered by name
 * @param hasMore whether more pages follow
 * @param position position of the store at which the page was read
 */
public record KindPage(List<KindObject> objects, boolean hasMore, StorePosition position) {}
