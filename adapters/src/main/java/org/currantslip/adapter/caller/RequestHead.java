package org.currantslip.adapter.caller;

import org.eclipse.jetty.http.HttpFields;

/**
 * Method, target and header fields of a caller's request.
 *
 * @param method HTTP method
 * @param path path as sent, without the query
 * @param pathQuery path and query as sent
 * @param fields header fields
 * @param arrivedMs time at which the first byte of the request was read
 */
public record RequestHead(
    String method, String path, String pathQuery, HttpFields fields, long arrivedMs) {}
