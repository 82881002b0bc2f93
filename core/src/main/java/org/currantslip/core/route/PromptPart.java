package org.currantslip.core.route;

/**
 * A part of a prompt that requests may share.
 *
 * @param id identifies the part's text
 * @param tokens its length
 */
public record PromptPart(String id, long tokens) {}
