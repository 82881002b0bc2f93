package org.currantslip.core.limits;

/**
 * A request for admission.
 *
 * @param account client account
 * @param priority 0 (lowest) to 9
 * @param expectedTokens prompt tokens plus expected completion tokens
 * @param deadlineMs time by which the response is due
 */
public record AdmissionQuery(String account, int priority, long expectedTokens, long deadlineMs) {}
