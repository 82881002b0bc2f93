package org.currantslip.adapter.rating;

/**
 * A rating of one response.
 *
 * @param requestId id of the request whose response was rated
 * @param good whether the rating was positive
 * @param cursor position of this rating; ratings that follow it are newer
 */
public record Rating(String requestId, boolean good, long cursor) {}
