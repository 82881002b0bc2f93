package org.currantslip.standin.engine;

import java.util.Random;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.StandinApp;

/** A model engine with continuous batching, a prefix cache, lagged load reports and orders. */
public final class ModelEngine implements StandinApp {
  private static final int OK = 200;

  private final EngineOptions options;
  private final PrefixCache cache;
  private final LoadReports loads;
  private final EngineOrdersApp orders;
  private final Batch batch;
  private final Random errors;

  private ModelEngine(EngineOptions options, Clock clock, Delays delays) {
    this.options = options;
    cache =
        new PrefixCache(clock, options.cachedPrefixes(), options.loadLagMs(), options.eventGap());
    loads = new LoadReports(clock, options.loadLagMs());
    orders = new EngineOrdersApp(options, clock, delays);
    batch = new Batch(options, clock, delays, cache, loads);
    errors = new Random(options.seed() ^ options.id().hashCode());
  }

  /** Returns an idle engine. */
  public static ModelEngine create(EngineOptions options, Clock clock, Delays delays) {
    return new ModelEngine(options, clock, delays);
  }

  @Override
  public void handle(Exchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "POST /v1/chat/completions" -> chat(exchange);
      case "GET /load" -> exchange.reply(OK, loads.report(orders.newestVersion()));
      case "POST /orders" -> orders.take(exchange);
      case "GET /orders" -> exchange.reply(OK, orders.history());
      case "GET /cache-events" -> cacheEvents(exchange);
      case "GET /stats" -> exchange.reply(OK, batch.stats());
      default -> throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, exchange.path());
    }
  }

  @Override
  public boolean isControl(String method, String path) {
    return path.equals("/stats") || (path.equals("/orders") && method.equals("GET"));
  }

  private void chat(Exchange exchange) {
    ChatRequest request = ChatRequest.read(exchange, options);
    if (!orders.serves(request.version())) {
      throw RefusalException.notRun(ResultCode.MODEL_UNKNOWN, "version is not loaded");
    }
    VersionProfile profile = options.profile(request.version());
    if (fails(profile.errorShare())) {
      throw RefusalException.notRun(ResultCode.INTERNAL, "engine failed");
    }
    AnswerText answer = AnswerText.generate(request, profile, options.seed());
    batch.add(new Sequence(exchange, request, answer));
  }

  private synchronized boolean fails(double share) {
    return share > 0 && errors.nextDouble() < share;
  }

  private void cacheEvents(Exchange exchange) {
    try {
      exchange.reply(OK, cache.since(Long.parseLong(exchange.query("since", "0"))));
    } catch (NumberFormatException e) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "malformed sequence");
    }
  }
}
