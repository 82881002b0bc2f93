package org.currantslip.standin.engine;

import java.util.Random;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.StandinApp;

/** Fake model engine: continuous batching, prefix cache, lagged load reports and orders. */
public final class ModelEngine implements StandinApp {
  private static final int OK = 200;

  private final EngineOptions options;
  private final PrefixCache cache;
  private final LoadReports loadReports;
  private final OrderHandler orders;
  private final Batch batch;
  private final Random errorRandom;

  private ModelEngine(EngineOptions options, Clock clock, Delays delays) {
    this.options = options;
    cache =
        new PrefixCache(clock, options.cachedPrefixes(), options.loadLagMs(), options.eventGap());
    loadReports = new LoadReports(clock, options.loadLagMs());
    orders = new OrderHandler(options, clock, delays);
    batch = new Batch(options, clock, delays, cache, loadReports);
    errorRandom = new Random(options.seed() ^ options.id().hashCode());
  }

  /** Returns an idle engine. */
  public static ModelEngine create(EngineOptions options, Clock clock, Delays delays) {
    return new ModelEngine(options, clock, delays);
  }

  @Override
  public void handle(Exchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "POST /v1/chat/completions" -> chat(exchange);
      case "GET /load" -> exchange.reply(OK, loadReports.report(orders.newestVersion()));
      case "POST /orders" -> orders.handle(exchange);
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
      throw RefusalException.notRun(ResultCode.MODEL_UNKNOWN, "requested version is not loaded");
    }
    VersionProfile profile = options.profile(request.version());
    if (drawError(profile.errorShare())) {
      throw RefusalException.notRun(ResultCode.INTERNAL, "injected engine error");
    }
    AnswerText answer = AnswerText.generate(request, profile, options.seed());
    batch.add(new Sequence(exchange, request, answer));
  }

  private synchronized boolean drawError(double share) {
    return share > 0 && errorRandom.nextDouble() < share;
  }

  private void cacheEvents(Exchange exchange) {
    try {
      exchange.reply(OK, cache.eventsAfter(Long.parseLong(exchange.query("since", "0"))));
    } catch (NumberFormatException e) {
      throw RefusalException.notRun(
          ResultCode.BODY_MALFORMED, "query parameter since is not a number");
    }
  }
}
