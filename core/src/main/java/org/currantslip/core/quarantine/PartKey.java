package org.currantslip.core.quarantine;

import java.util.List;
import java.util.stream.Stream;
import org.currantslip.core.route.PromptPart;

/** A prompt part as one service gets it. */
record PartKey(String service, String part) {
  /** Returns the parts that several requests may share: all but the last one. */
  static Stream<PartKey> sharedParts(String service, List<PromptPart> prompt) {
    return prompt.stream()
        .limit(Math.max(0, prompt.size() - 1))
        .map(part -> new PartKey(service, part.id()))
        .distinct();
  }
}
