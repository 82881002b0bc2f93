package org.currantslip.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The tokens of one answer. The first names the prompt and the last is the end mark, so that a
 * reader can tell whether an answer is whole and its own.
 *
 * @param tokens pieces of text in order
 * @param good whether a rater would call the answer good
 * @param confidence the engine's confidence
 */
public record AnswerText(List<String> tokens, boolean good, double confidence) {
  /** Last token of a good answer. */
  public static final String GOOD_END = " [good]";

  /** Last token of a poor answer. */
  public static final String POOR_END = " [poor]";

  private static final int MARKER_CHARS = 64;
  private static final double GOOD_MEAN = 0.85;
  private static final double POOR_MEAN = 0.45;
  private static final double SPREAD = 0.12;

  /** Returns the first token of an answer to this prompt. */
  public static String marker(String prompt) {
    String part = prompt.length() > MARKER_CHARS ? prompt.substring(0, MARKER_CHARS) : prompt;
    return "[" + part + "]";
  }

  /** Returns the answer that a seed gives to a prompt. */
  static AnswerText generate(ChatRequest request, VersionProfile profile, long seed) {
    Random random = new Random(seed ^ request.prompt().hashCode() * 0x9E3779B97F4A7C15L);
    boolean good = random.nextDouble() < profile.quality();
    int most = request.maxTokens() > 0 ? request.maxTokens() : profile.tokens();
    int count = Math.max(2, Math.min(profile.tokens(), most));
    List<String> tokens = new ArrayList<>(count);
    tokens.add(marker(request.prompt()));
    for (int i = 2; i < count; i++) {
      tokens.add(" w" + i);
    }
    tokens.add(good ? GOOD_END : POOR_END);
    double mean = good ? GOOD_MEAN : POOR_MEAN;
    double confidence = Math.max(0, Math.min(1, mean + random.nextGaussian() * SPREAD));
    return new AnswerText(tokens, good, confidence);
  }
}
