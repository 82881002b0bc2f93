package org.currantslip.core.request;

/**
 * One header field as it was received.
 *
 * @param name name, in the sender's case
 * @param value value
 */
public record HeaderField(String name, String value) {}
