package org.currantslip.standin.soak;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;

/**
 * Body of a request that crashes each endpoint that begins to run it.
 *
 * @param mark identifies the request through all its repetitions
 */
record CrashOrder(String mark, Stage stage) {
  /** How much of the answer is sent before the crash. */
  enum Stage {
    /** Nothing. */
    BEFORE_HEAD,
    /** The head, and half of the body of an answer that is no stream. */
    AFTER_HEAD,
    /** Some events of a stream. */
    AFTER_EVENTS
  }

  private static final String PREFIX = "crash";
  private static final Splitter SPACE = Splitter.on(' ');

  String body() {
    return PREFIX + " " + mark + " " + stage;
  }

  static Optional<CrashOrder> parse(String body) {
    List<String> words = SPACE.splitToList(body);
    return words.size() == 3 && words.get(0).equals(PREFIX)
        ? Optional.of(new CrashOrder(words.get(1), Stage.valueOf(words.get(2))))
        : Optional.empty();
  }
}
