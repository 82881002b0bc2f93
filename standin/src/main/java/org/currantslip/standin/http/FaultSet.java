package org.currantslip.standin.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Faults that a stand-in shows.
 *
 * @param down answers 503 without effect
 * @param refuse closes the connection without effect or answer
 * @param slowMs waits this long before the effect
 * @param lateMs waits this long between the effect and the answer
 * @param silentAfterAccept reads the request, then does and says nothing
 * @param loseAnswerAfterEffect closes the connection after the effect, without an answer
 * @param crossed answers with the correlation id of another request
 * @param truncate cuts the answer in its middle
 * @param freeze starts an answer, then says nothing more and leaves the connection open
 * @param errorShare share of requests answered 500 without effect
 * @param path only requests whose path starts with this
 * @param times only this many requests; zero means all
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
