package org.currantslip.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.PendingPrefill;
import org.currantslip.schema.PrefillReport;
import org.currantslip.schema.SentPrompt;
import org.currantslip.schema.SentPromptPart;

/** Prompts that this node has sent since its last report to other nodes. */
final class SentPrompts {
  /** Bounds a report; a node sends fewer prompts between two reports. */
  private static final int MAX_SENT_PROMPTS = 64;

  /** Bounds the size of a report; prompts of usual length have a few parts. */
  private static final int MAX_SENT_PARTS = 1_024;

  private final List<SentPrompt> prompts = new ArrayList<>();

  private int partCount;

  private SentPrompts() {}

  static SentPrompts create() {
    return new SentPrompts();
  }

  /** Records a prompt that is sent to an endpoint. */
  void add(String endpointId, EndpointQuery query) {
    int parts = query.prompt().size();
    if (parts == 0 || prompts.size() >= MAX_SENT_PROMPTS || partCount + parts > MAX_SENT_PARTS) {
      return;
    }
    partCount += parts;
    SentPrompt.Builder sent =
        SentPrompt.newBuilder().setEndpoint(endpointId).setModel(query.engineModel());
    query
        .prompt()
        .forEach(
            p -> sent.addPart(SentPromptPart.newBuilder().setId(p.id()).setTokens(p.tokens())));
    prompts.add(sent.build());
  }

  /** Returns the prompts since the last report, and the prefill that endpoints have pending. */
  PrefillReport report(Collection<EndpointState> states) {
    PrefillReport.Builder report = PrefillReport.newBuilder().addAllSent(prompts);
    prompts.clear();
    partCount = 0;
    states.stream()
        .filter(state -> state.pendingPrefillMs() >= 1)
        .map(
            state ->
                PendingPrefill.newBuilder()
                    .setEndpoint(state.endpoint().getId())
                    .setPrefillMs((int) state.pendingPrefillMs()))
        .forEach(report::addPending);
    return report.build();
  }

  /** Returns the parts of a reported prompt. */
  static List<PromptPart> parts(SentPrompt sent) {
    return sent.getPartList().stream().map(p -> new PromptPart(p.getId(), p.getTokens())).toList();
  }
}
