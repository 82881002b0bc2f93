package org.currantslip.core.request;

import java.util.List;
import org.currantslip.core.route.PromptPart;

/**
 * Additional fields of a request that is forwarded unchanged to an endpoint of its route.
 *
 * @param host host requested by the caller
 * @param apiKey API key of the client account, or empty
 * @param fields header fields to forward, in order
 * @param prompt parts of the prompt, in order; empty if the caller declares none
 * @param lastEventId id of the last event that the caller received from an earlier response, or
 *     empty
 * @param arrivedMs time at which the first byte of the request was read; timeouts count from it
 * @param relayedBy name of the node that relayed the request to this one, or empty
 * @param earlierRuns endpoints that may have run the request for that node
 */
public record ForwardedRequest(
    String host,
    String apiKey,
    List<HeaderField> fields,
    List<PromptPart> prompt,
    String lastEventId,
    long arrivedMs,
    String relayedBy,
    int earlierRuns) {
  /** Creates the fields of a request that a caller sent to this node. */
  public ForwardedRequest(
      String host,
      String apiKey,
      List<HeaderField> fields,
      List<PromptPart> prompt,
      String lastEventId,
      long arrivedMs) {
    this(host, apiKey, fields, prompt, lastEventId, arrivedMs, "", 0);
  }
}
