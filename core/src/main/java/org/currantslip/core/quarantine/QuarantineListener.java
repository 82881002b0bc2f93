package org.currantslip.core.quarantine;

import java.util.List;
import org.currantslip.schema.EndpointCrash;
import org.currantslip.schema.PartVerdict;

/** Receives the findings of this node, for diagnosis. */
public interface QuarantineListener {
  /** Called when this node has noticed the crash of an endpoint, with the parts that it reports. */
  default void onCrash(EndpointCrash crash) {}

  /**
   * Called when this node has reached, confirmed or lifted a verdict.
   *
   * @param evidence crashes on which the verdict is based
   */
  void onVerdict(PartVerdict verdict, List<EndpointCrash> evidence);

  /** Returns a listener that ignores all findings. */
  static QuarantineListener none() {
    return (verdict, evidence) -> {};
  }
}
