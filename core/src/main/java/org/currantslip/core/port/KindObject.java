package org.currantslip.core.port;

import com.google.protobuf.ByteString;

/**
 * One object of a kind that the operator or an endpoint writes.
 *
 * @param name name within the kind
 * @param version store revision of its last change
 * @param spec what its writer wants, as stored
 * @param status what the system reports back, empty when there is none
 */
public record KindObject(String name, long version, ByteString spec, ByteString status) {}
