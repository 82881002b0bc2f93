package org.currantslip.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The tokens of one answer. The first token contains the prompt and the last one is an end marker,
 * so that a client can check that an answer is complete and belongs to its prompt.
 *
 * @param tokens text of each token, in order
 * @param good whether the answer deserves a good rating
 * @param confidence confidence of the engine in the answer, from 0 to 1
 */
public record AnswerText(List<String> tokens, boolean good, double confidence) {
  /** Last token of a good answer. */
  public static final String GOOD_END = " [good]";

  /** Last token of a poor answer. */
  public static final String POOR_END = " [poor]";

  private static final int MAX_MARKER_CHARS = 64;
  private static final double GOOD_CONFIDENCE_MEAN = 0.85;
  private static final double POOR_CONFIDENCE_MEAN = 0.45;
  private static final double CONFIDENCE_STDDEV = 0.12;

  /** Returns the first token of an answer to this prompt. */
  public static String promptMarker(String prompt) {
    String prefix =
        prompt.length() > MAX_MARKER_CHARS ? prompt.substring(0, MAX_MARKER_CHARS) : prompt;
    return "[" + prefix + "]";
  }

  /** Generates the answer to a request; the same seed and prompt give the same answer. */
  static AnswerText generate(ChatRequest request, VersionProfile profile, long seed) {
    Random random = new Random(seed ^ request.prompt().hashCode() * 0x9E3779B97F4A7C15L);
    boolean good = random.nextDouble() < profile.quality();
    int limit = request.maxTokens() > 0 ? request.maxTokens() : profile.tokens();
    int count = Math.max(2, Math.min(profile.tokens(), limit));
    List<String> tokens = new ArrayList<>(count);
    tokens.add(promptMarker(request.prompt()));
    for (int i = 2; i < count; i++) {
      tokens.add(" w" + i);
    }
    tokens.add(good ? GOOD_END : POOR_END);
    double mean = good ? GOOD_CONFIDENCE_MEAN : POOR_CONFIDENCE_MEAN;
    double confidence = Math.max(0, Math.min(1, mean + random.nextGaussian() * CONFIDENCE_STDDEV));
    return new AnswerText(tokens, good, confidence);
  }
}
