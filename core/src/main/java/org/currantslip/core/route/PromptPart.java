package org.currantslip.core.route;

/**
 * A prompt segment that several requests may share.
 *
 * @param id identifies the text of the segment
 * @param tokens length in tokens
 */
public record PromptPart(String id, long tokens) {}
