package org.currantslip.core.evacuation;

import com.google.common.collect.ImmutableSet;

/** Receives the effects of evacuation orders. */
public interface EvacuationListener {
  /** Reason why an order has no effect. */
  enum Refusal {
    /** Neither the settings nor an endpoint name the failure domain. */
    UNKNOWN_DOMAIN,
    /** The object is not a valid order; an earlier order of the same name stays in force. */
    UNREADABLE
  }

  /** Called with all evacuated failure domains when they have changed. */
  void onDomains(ImmutableSet<String> domains);

  /** Called once for each refused order, and again if the order changes. */
  void onRefused(String domain, long storeVersion, Refusal refusal);
}
