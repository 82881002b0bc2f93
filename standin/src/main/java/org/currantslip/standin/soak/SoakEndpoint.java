package org.currantslip.standin.soak;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.EventStream;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.StandinApp;

/** Endpoint that answers with the request id; some answers fail, are aborted or delayed. */
final class SoakEndpoint implements StandinApp {
  /** Number of events of a streamed answer. */
  static final int EVENTS_PER_STREAM = 4;

  private static final int MAX_WORK_MS = 60;
  private static final long EVENT_INTERVAL_MS = 40;
  private static final double ERROR_SHARE = 0.02;
  private static final double ABORT_SHARE = 0.02;
  private static final int OK = 200;
  private static final int INTERNAL_ERROR = 500;

  private final SoakRecorder recorder;
  private final Delays delays;
  private final Random random;

  private SoakEndpoint(SoakRecorder recorder, Delays delays, long seed) {
    this.recorder = recorder;
    this.delays = delays;
    random = new Random(seed);
  }

  static SoakEndpoint create(SoakRecorder recorder, Delays delays, long seed) {
    return new SoakEndpoint(recorder, delays, seed);
  }

  /** Returns the complete answer to an at-most-once request. */
  static String answerText(String id) {
    return "ran " + id + " " + "x".repeat(Math.floorMod(id.hashCode(), 4_000)) + " end";
  }

  /** Returns one event of a streamed answer. */
  static String eventText(String id, int index) {
    return id + " " + index;
  }

  @Override
  public void handle(Exchange exchange) {
    String id = exchange.header(RehearsalPlatform.REQUEST_ID);
    recorder.addRun(id);
    double draw;
    int workMs;
    synchronized (random) {
      draw = random.nextDouble();
      workMs = random.nextInt(MAX_WORK_MS);
    }
    delays.after(workMs, () -> answer(exchange, id, draw));
  }

  private void answer(Exchange exchange, String id, double draw) {
    Map<String, String> fields = RehearsalPlatform.answerFields(id);
    if (draw < ABORT_SHARE) {
      exchange.abort();
    } else if (id.startsWith(RehearsalPlatform.STREAM_PATH)) {
      sendFrom(exchange.stream(fields), id, 1);
    } else {
      int status = draw < ABORT_SHARE + ERROR_SHARE ? INTERNAL_ERROR : OK;
      byte[] body = answerText(id).getBytes(StandardCharsets.UTF_8);
      exchange.reply(status, "text/plain", fields, body);
    }
  }

  private void sendFrom(EventStream stream, String id, int index) {
    if (index > EVENTS_PER_STREAM) {
      stream.end();
    } else if (stream.send(eventText(id, index))) {
      delays.after(EVENT_INTERVAL_MS, () -> sendFrom(stream, id, index + 1));
    }
  }
}
