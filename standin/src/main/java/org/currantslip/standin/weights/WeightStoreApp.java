package org.currantslip.standin.weights;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicLong;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;
import org.currantslip.standin.http.RateLimit;
import org.currantslip.standin.http.StandinApp;

/** Fake weight store with a transfer time per fetch and a rate limit. */
public final class WeightStoreApp implements StandinApp {
  private static final String FETCH_PATH = "/fetch";
  private static final String CALLS_PATH = "/calls";
  private static final int OK = 200;

  private final Delays delays;
  private final RateLimit limit;
  private final long transferMs;
  private final AtomicLong fetches = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();

  private WeightStoreApp(Delays delays, double fetchesPerS, long transferMs) {
    this.delays = delays;
    limit = RateLimit.perSecond(fetchesPerS);
    this.transferMs = transferMs;
  }

  /** Returns a store; a rate of zero means no limit. */
  public static WeightStoreApp create(Delays delays, double fetchesPerS, long transferMs) {
    return new WeightStoreApp(delays, fetchesPerS, transferMs);
  }

  @Override
  public void handle(Exchange exchange) {
    if (exchange.path().equals(CALLS_PATH)) {
      exchange.reply(OK, Json.object().put("fetches", fetches.get()).put("refused", refused.get()));
    } else if (exchange.path().equals(FETCH_PATH) && exchange.method().equals("POST")) {
      fetch(exchange);
    } else {
      throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, exchange.path());
    }
  }

  @Override
  public boolean isControl(String method, String path) {
    return path.equals(CALLS_PATH);
  }

  private void fetch(Exchange exchange) {
    JsonNode body = exchange.json();
    if (!body.path("model").isTextual() || !body.path("version").isTextual()) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "model or version missing");
    }
    if (!limit.tryTake()) {
      refused.incrementAndGet();
      throw RefusalException.notRun(ResultCode.RATE_LIMITED, "fetch rate limit exceeded");
    }
    fetches.incrementAndGet();
    delays.after(transferMs, () -> exchange.reply(OK, body));
  }
}
