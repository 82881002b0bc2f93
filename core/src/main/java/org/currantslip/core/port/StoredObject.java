package org.currantslip.core.port;

import com.google.protobuf.ByteString;

/**
 * An object stored in the object API.
 *
 * @param name slash-separated name
 * @param version version assigned by the store, starting at 1
 * @param value content, at most {@link ObjectStore#MAX_VALUE_BYTES}
 */
public record StoredObject(String name, long version, ByteString value) {}
