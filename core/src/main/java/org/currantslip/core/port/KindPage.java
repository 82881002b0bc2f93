package org.currantslip.core.port;

import java.util.List;

/**
 * One page of a listing.
 *
 * @param objects objects in name order
 * @param more whether further pages follow
 * @param revision store revision as of which the page was read
 */
public record KindPage(List<KindObject> objects, boolean more, long revision) {}
