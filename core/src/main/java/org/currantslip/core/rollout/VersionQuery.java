package org.currantslip.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * Parameters for choosing a model version.
 *
 * @param account name of the client account
 * @param task task of the request
 * @param model model name
 * @param stickinessKey session id, or request id without a session; equal keys get the same version
 * @param boundVersion current version of the session, or null
 */
public record VersionQuery(
    String account,
    String task,
    String model,
    String stickinessKey,
    @Nullable String boundVersion) {}
