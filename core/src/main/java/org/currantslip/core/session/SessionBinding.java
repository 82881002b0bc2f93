package org.currantslip.core.session;

/**
 * Binds a session to a version of a model.
 *
 * @param account client account
 * @param session session id chosen by the caller
 * @param model model name
 * @param version version of the model
 */
public record SessionBinding(String account, String session, String model, String version) {}
