package org.currantslip.node.edge;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.evacuation.EvacuationController;
import org.currantslip.core.evacuation.EvacuationListener;
import org.currantslip.core.evacuation.Evacuations;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.node.log.EventLog;
import org.currantslip.platform.EvacuationOrderCodec;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.EndpointRecord;

/**
 * Carries out the orders to evacuate failure domains; does nothing if the settings turn them off.
 */
final class EvacuationDuty {
  private final Evacuations evacuations;
  private final EvacuationController controller;
  private final boolean enabled;

  private EvacuationDuty(
      Evacuations evacuations, EvacuationController controller, boolean enabled) {
    this.evacuations = evacuations;
    this.controller = controller;
    this.enabled = enabled;
  }

  /** Creates an instance and connects it to the orders in the store. */
  static EvacuationDuty create(
      EdgeSettings settings,
      Clock clock,
      Membership membership,
      StoreMirrors mirrors,
      KindStore store,
      ExpectedWaitChooser chooser) {
    Evacuations evacuations =
        Evacuations.create(clock, EdgeOptions.regions(settings).keySet(), new Listener(chooser));
    EvacuationController controller =
        EvacuationController.create(
            membership,
            evacuations,
            (order, state) -> {
              EventLog.write(
                  LogEvent.EVACUATION_STATUS,
                  "failure_domain=%s state=%s order_version=%d"
                      .formatted(order.domain(), state, order.storeVersion()));
              return store.putStatus(
                  EvacuationOrderCodec.KIND,
                  order.domain(),
                  EvacuationOrderCodec.status(state),
                  order.storeVersion());
            },
            clock,
            settings.getEvacuation().getEffectMs());
    mirrors.connectEvacuations(evacuations);
    return new EvacuationDuty(evacuations, controller, EdgeOptions.evacuatesOnOrder(settings));
  }

  /** Sets the endpoints whose failure domains can be evacuated, before they get requests. */
  void onEndpoints(List<EndpointRecord> endpoints) {
    if (enabled) {
      evacuations.onEndpointDomains(
          endpoints.stream()
              .map(EndpointRecord::getFailureDomain)
              .collect(ImmutableSet.toImmutableSet()));
    }
  }

  void tick() {
    if (enabled) {
      evacuations.tick();
      controller.tick();
    }
  }

  /** Returns the number of evacuated failure domains. */
  int evacuatedCount() {
    return evacuations.domains().size();
  }

  private record Listener(ExpectedWaitChooser chooser) implements EvacuationListener {
    @Override
    public void onDomains(ImmutableSet<String> domains) {
      chooser.setEvacuated(domains);
      EventLog.write(LogEvent.EVACUATED_DOMAINS, "failure_domains=" + String.join(",", domains));
    }

    @Override
    public void onRefused(String domain, long storeVersion, Refusal refusal) {
      EventLog.write(
          LogEvent.EVACUATION_REFUSED,
          "failure_domain=%s reason=%s order_version=%d".formatted(domain, refusal, storeVersion));
    }
  }
}
