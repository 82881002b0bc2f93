package org.currantslip.standin.soak;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.EventStream;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.StandinApp;

/** Runs requests, and answers with their ids; some answers fail, break off or come late. */
final class SoakEndpoint implements StandinApp {
  /** Events of a streamed answer. */
  static final int EVENTS = 4;

  private static final int MAX_WORK_MS = 60;
  private static final long EVENT_MS = 40;
  private static final double FAILING = 0.02;
  private static final double BREAKING = 0.02;
  private static final int OK = 200;
  private static final int FAILED = 500;

  private final SoakLedger ledger;
  private final Delays delays;
  private final Random random;

  private SoakEndpoint(SoakLedger ledger, Delays delays, long seed) {
    this.ledger = ledger;
    this.delays = delays;
    random = new Random(seed);
  }

  static SoakEndpoint create(SoakLedger ledger, Delays delays, long seed) {
    return new SoakEndpoint(ledger, delays, seed);
  }

  /** Returns the whole answer to a request that must not run twice. */
  static String answerTo(String id) {
    return "ran " + id + " " + "x".repeat(Math.floorMod(id.hashCode(), 4_000)) + " end";
  }

  /** Returns one event of a streamed answer. */
  static String eventOf(String id, int number) {
    return id + " " + number;
  }

  @Override
  public void handle(Exchange exchange) {
    String id = exchange.header(RehearsalPlatform.REQUEST_ID);
    ledger.ran(id);
    double luck;
    int workMs;
    synchronized (random) {
      luck = random.nextDouble();
      workMs = random.nextInt(MAX_WORK_MS);
    }
    delays.after(workMs, () -> answer(exchange, id, luck));
  }

  private void answer(Exchange exchange, String id, double luck) {
    Map<String, String> fields = RehearsalPlatform.answerFields(id);
    if (luck < BREAKING) {
      exchange.abort();
    } else if (id.startsWith(RehearsalPlatform.STREAM_PATH)) {
      sendFrom(exchange.stream(fields), id, 1);
    } else {
      int status = luck < BREAKING + FAILING ? FAILED : OK;
      byte[] body = answerTo(id).getBytes(StandardCharsets.UTF_8);
      exchange.reply(status, "text/plain", fields, body);
    }
  }

  private void sendFrom(EventStream stream, String id, int number) {
    if (number > EVENTS) {
      stream.end();
    } else if (stream.send(eventOf(id, number))) {
      delays.after(EVENT_MS, () -> sendFrom(stream, id, number + 1));
    }
  }
}
