package org.currantslip.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * What a version is chosen for.
 *
 * @param account client account
 * @param task task of the request
 * @param model model name
 * @param spreadKey session id, or request id without a session; equal keys get equal versions
 * @param keptVersion the session's version, or null
 */
public record VersionQuery(
    String account, String task, String model, String spreadKey, @Nullable String keptVersion) {}
