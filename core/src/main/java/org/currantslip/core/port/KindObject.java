package org.currantslip.core.port;

import com.google.protobuf.ByteString;

/**
 * An object of a kind, written by the operator or by an endpoint.
 *
 * @param name name within the kind
 * @param version store revision of its last change
 * @param spec desired state, in stored form
 * @param status status reported by the router, or empty if there is none
 */
public record KindObject(String name, long version, ByteString spec, ByteString status) {}
