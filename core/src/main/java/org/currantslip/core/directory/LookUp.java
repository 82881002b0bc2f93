package org.currantslip.core.directory;

/**
 * A caller's look-up of the nodes to use.
 *
 * @param host host name that the caller wants to reach; empty if it does not say
 * @param region region of the caller; empty if it does not say
 * @param failureDomain failure domain of the caller; empty if it does not say
 */
public record LookUp(String host, String region, String failureDomain) {}
