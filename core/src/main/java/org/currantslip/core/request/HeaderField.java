package org.currantslip.core.request;

/**
 * An HTTP header field as received.
 *
 * @param name field name, in the case used by the sender
 * @param value field value
 */
public record HeaderField(String name, String value) {}
