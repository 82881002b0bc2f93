package org.currantslip.standin.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Faults to inject into the answers of a stand-in.
 *
 * @param down answers with 503 without effect
 * @param refuse closes the connection without effect or answer
 * @param slowMs delay before the request takes effect
 * @param lateMs delay between the effect and the answer
 * @param silentAfterAccept reads the request, then neither executes nor answers it
 * @param loseAnswerAfterEffect closes the connection after the effect, without an answer
 * @param crossed answers with the correlation id of another request
 * @param truncate closes the connection in the middle of the answer
 * @param freeze sends a part of the answer, then nothing more, and keeps the connection open
 * @param errorShare share of requests answered with 500 without effect
 * @param path path prefix of the requests that are affected
 * @param times number of requests that are affected; zero means all
 */
public record FaultSet(
    boolean down,
    boolean refuse,
    @JsonProperty("slow_ms") long slowMs,
    @JsonProperty("late_ms") long lateMs,
    @JsonProperty("silent_after_accept") boolean silentAfterAccept,
    @JsonProperty("lose_answer_after_effect") boolean loseAnswerAfterEffect,
    boolean crossed,
    boolean truncate,
    boolean freeze,
    @JsonProperty("error_share") double errorShare,
    String path,
    int times) {
  /** No fault. */
  public static final FaultSet NONE =
      new FaultSet(false, false, 0, 0, false, false, false, false, false, 0, "", 0);
}
