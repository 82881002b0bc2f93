package org.currantslip.core.routing;

import java.util.List;
import java.util.Set;
import org.currantslip.core.route.PromptPart;

/**
 * What an endpoint is chosen for.
 *
 * @param model model name, or empty for a plain service
 * @param version version of the model, or empty
 * @param service service name, or empty for a model
 * @param prefixHash hash of the prompt's prefix, zero when there is none
 * @param promptTokens estimated prompt tokens
 * @param excluded endpoints already tried
 * @param prompt parts of the prompt in order, empty when they are not known
 * @param engineModel model that an engine with several is to run, or empty
 */
public record RouteQuery(
    String model,
    String version,
    String service,
    long prefixHash,
    long promptTokens,
    Set<String> excluded,
    List<PromptPart> prompt,
    String engineModel) {
  /** Returns a query for a prompt of which only the prefix's hash is known. */
  public RouteQuery(
      String model,
      String version,
      String service,
      long prefixHash,
      long promptTokens,
      Set<String> excluded) {
    this(model, version, service, prefixHash, promptTokens, excluded, List.of(), "");
  }

  /** Returns a query for an endpoint of a service; an empty version stands for any. */
  public static RouteQuery ofService(
      String service,
      String version,
      String engineModel,
      List<PromptPart> prompt,
      Set<String> excluded) {
    long tokens = prompt.stream().mapToLong(PromptPart::tokens).sum();
    return new RouteQuery("", version, service, 0, tokens, excluded, prompt, engineModel);
  }
}
