package org.currantslip.adapter.rating;

/**
 * A rating of an answer.
 *
 * @param requestId request that was answered
 * @param good whether the answer was rated good
 * @param cursor position of this rating; ratings after it are newer
 */
public record Rating(String requestId, boolean good, long cursor) {}
