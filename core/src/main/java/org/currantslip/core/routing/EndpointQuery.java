package org.currantslip.core.routing;

import java.util.List;
import java.util.Set;
import org.currantslip.core.route.Homes;
import org.currantslip.core.route.PromptPart;

/**
 * Selection criteria for an endpoint.
 *
 * @param model model name, or empty for a service without a model
 * @param version model version, or empty for any version of a service
 * @param service service name, or empty for a model
 * @param prefixHash hash of the prompt prefix, zero if there is none
 * @param promptTokens estimated number of prompt tokens
 * @param excluded ids of endpoints that were already tried
 * @param prompt prompt parts in order, empty if unknown
 * @param engineModel model to run on an engine that hosts several, or empty
 * @param homes regions in which the endpoint may be
 */
public record EndpointQuery(
    String model,
    String version,
    String service,
    long prefixHash,
    long promptTokens,
    Set<String> excluded,
    List<PromptPart> prompt,
    String engineModel,
    Homes homes) {
  /** Creates a query for a prompt of which only the prefix hash is known. */
  public EndpointQuery(
      String model,
      String version,
      String service,
      long prefixHash,
      long promptTokens,
      Set<String> excluded) {
    this(model, version, service, prefixHash, promptTokens, excluded, List.of(), "", Homes.all());
  }

  /** Returns a query for an endpoint of a service in any region. */
  public static EndpointQuery ofService(
      String service,
      String version,
      String engineModel,
      List<PromptPart> prompt,
      Set<String> excluded) {
    return ofService(service, version, engineModel, prompt, excluded, Homes.all());
  }

  /** Returns a query for an endpoint of a service; an empty version matches any. */
  public static EndpointQuery ofService(
      String service,
      String version,
      String engineModel,
      List<PromptPart> prompt,
      Set<String> excluded,
      Homes homes) {
    long tokens = prompt.stream().mapToLong(PromptPart::tokens).sum();
    return new EndpointQuery("", version, service, 0, tokens, excluded, prompt, engineModel, homes);
  }
}
