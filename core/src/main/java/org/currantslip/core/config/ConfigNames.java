package org.currantslip.core.config;

import java.util.Locale;
import org.currantslip.schema.AcceptedConfig;

/** Names of configuration objects in the store. */
public final class ConfigNames {
  /** Name of the accepted configuration. */
  public static final String ACCEPTED = "config/accepted";

  /** Prefix of the audit records. */
  public static final String AUDIT_PREFIX = "audit/";

  private ConfigNames() {}

  /** Returns the name of the permanent history object of a version. */
  public static String historyName(long version) {
    return String.format(Locale.ROOT, "config/history/%010d", version);
  }

  /** Returns the name of the audit record of a change. */
  public static String auditName(AcceptedConfig config) {
    return auditName(config.getAppliedMs(), config.getNonce());
  }

  /** Returns the name of an audit record; names sort by time. */
  public static String auditName(long atMs, long nonce) {
    return String.format(Locale.ROOT, "%s%015d/%016x", AUDIT_PREFIX, atMs, nonce);
  }
}
