package org.currantslip.core.session;

/**
 * The version that a session keeps.
 *
 * @param account client account
 * @param session session id chosen by the caller
 * @param model model name
 * @param version version of the model
 */
public record SessionBinding(String account, String session, String model, String version) {}
