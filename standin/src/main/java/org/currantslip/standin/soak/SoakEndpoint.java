package org.currantslip.standin.soak;

import com.google.common.primitives.Ints;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.EventStream;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.StandinApp;

/** Endpoint that answers with the request id; some answers fail, are aborted or delayed. */
final class SoakEndpoint implements StandinApp {
  /** The machine of an endpoint. */
  interface Host {
    /** Called for each request that will crash the endpoint. */
    void onCrashOrder(CrashOrder order, String id);

    /** Crashes the endpoint and starts it again. */
    void crash(CrashOrder order);
  }

  private static final int EVENTS_PER_STREAM = 4;
  private static final int EVENTS_PER_RESUMED_STREAM = 20;

  private static final int MAX_WORK_MS = 60;
  private static final long EVENT_INTERVAL_MS = 40;
  private static final double ERROR_SHARE = 0.02;
  private static final double ABORT_SHARE = 0.02;
  private static final int OK = 200;
  private static final int INTERNAL_ERROR = 500;
  private static final String TEXT = "text/plain";

  /** Time for the beginning of an answer to pass the proxy before a crash. */
  private static final long CRASH_DELAY_MS = 30;

  private static final int EVENTS_BEFORE_CRASH = 2;

  private final String name;
  private final SoakRecorder recorder;
  private final Delays delays;
  private final Random random;
  private final Host host;
  private volatile long pausedUntilMs;

  private SoakEndpoint(String name, SoakRecorder recorder, Delays delays, long seed, Host host) {
    this.name = name;
    this.recorder = recorder;
    this.delays = delays;
    random = new Random(seed);
    this.host = host;
  }

  static SoakEndpoint create(
      String name, SoakRecorder recorder, Delays delays, long seed, Host host) {
    return new SoakEndpoint(name, recorder, delays, seed, host);
  }

  /** Returns the complete answer to an at-most-once request. */
  static String answerText(String id) {
    return "ran " + id + " " + "x".repeat(Math.floorMod(id.hashCode(), 4_000)) + " end";
  }

  /** Returns the number of events of a streamed answer. */
  static int eventCount(String id) {
    return id.startsWith(RehearsalPlatform.RESUMED_PATH)
        ? EVENTS_PER_RESUMED_STREAM
        : EVENTS_PER_STREAM;
  }

  /** Returns one event of a streamed answer. */
  static String eventText(String id, int index) {
    return id + " " + index + "\nid: " + index;
  }

  /** Sends nothing for a while, on no connection, and goes on afterwards. */
  void pause(long forMs) {
    pausedUntilMs = System.currentTimeMillis() + forMs;
  }

  private void runAwake(Runnable task) {
    long leftMs = pausedUntilMs - System.currentTimeMillis();
    if (leftMs > 0) {
      delays.after(leftMs, () -> runAwake(task));
    } else {
      task.run();
    }
  }

  @Override
  public void handle(Exchange exchange) {
    String id = exchange.header(RehearsalPlatform.REQUEST_ID);
    recorder.addRun(id, name);
    Optional<CrashOrder> order =
        CrashOrder.parse(new String(exchange.body(), StandardCharsets.UTF_8));
    order.ifPresent(o -> host.onCrashOrder(o, id));
    double draw;
    int workMs;
    synchronized (random) {
      draw = random.nextDouble();
      workMs = random.nextInt(MAX_WORK_MS);
    }
    delays.after(
        workMs,
        () ->
            runAwake(
                () ->
                    order.ifPresentOrElse(
                        o -> answerInPart(exchange, id, o), () -> answer(exchange, id, draw))));
  }

  private void answer(Exchange exchange, String id, double draw) {
    Map<String, String> fields = RehearsalPlatform.answerFields(id);
    if (draw < ABORT_SHARE) {
      recorder.addAborted(id);
      exchange.abort();
    } else if (id.startsWith(RehearsalPlatform.STREAM_PATH)) {
      Integer last = Ints.tryParse(exchange.header(RehearsalPlatform.LAST_EVENT_ID));
      sendFrom(exchange.stream(fields), id, last == null ? 1 : last + 1);
    } else {
      int status = draw < ABORT_SHARE + ERROR_SHARE ? INTERNAL_ERROR : OK;
      exchange.reply(status, TEXT, fields, answerBytes(id));
    }
  }

  private static byte[] answerBytes(String id) {
    return answerText(id).getBytes(StandardCharsets.UTF_8);
  }

  private void sendFrom(EventStream stream, String id, int index) {
    if (index > eventCount(id)) {
      stream.end();
    } else if (stream.send(eventText(id, index))) {
      delays.after(EVENT_INTERVAL_MS, () -> runAwake(() -> sendFrom(stream, id, index + 1)));
    }
  }

  private void answerInPart(Exchange exchange, String id, CrashOrder order) {
    Map<String, String> fields = RehearsalPlatform.answerFields(id);
    if (order.stage() != CrashOrder.Stage.BEFORE_HEAD) {
      if (id.startsWith(RehearsalPlatform.STREAM_PATH)) {
        EventStream stream = exchange.stream(fields);
        stream.open();
        for (int i = 1;
            i <= EVENTS_BEFORE_CRASH && order.stage() == CrashOrder.Stage.AFTER_EVENTS;
            i++) {
          stream.send(eventText(id, i));
        }
      } else {
        exchange.replyInPart(TEXT, fields, answerBytes(id));
      }
    }
    delays.after(CRASH_DELAY_MS, () -> runAwake(() -> host.crash(order)));
  }
}
