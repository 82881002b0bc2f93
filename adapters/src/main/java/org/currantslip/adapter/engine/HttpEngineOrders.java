package org.currantslip.adapter.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.currantslip.adapter.http.HttpAnswer;
import org.currantslip.adapter.http.HttpExchangeException;
import org.currantslip.adapter.http.JsonCalls;
import org.currantslip.schema.EndpointRecord;
import org.eclipse.jetty.client.HttpClient;
import org.jspecify.annotations.Nullable;

/** Sends commands to model engines over HTTP. */
public final class HttpEngineOrders implements EngineOrders {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final JsonCalls jsonCalls;

  private HttpEngineOrders(JsonCalls jsonCalls) {
    this.jsonCalls = jsonCalls;
  }

  /**
   * Returns an adapter whose futures complete on {@code executor}.
   *
   * @param timeoutMs timeout of one command
   */
  public static HttpEngineOrders create(HttpClient client, Executor executor, long timeoutMs) {
    return new HttpEngineOrders(JsonCalls.create(client, executor, timeoutMs));
  }

  @Override
  public CompletableFuture<OrderResult> give(EndpointRecord engine, EngineOrder order) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("order", order.kind().text())
        .put("model", order.model())
        .put("version", order.version())
        .put("fencing", order.fencingNumber());
    return jsonCalls
        .post(JsonCalls.baseOf(engine.getAddress()) + "/orders", body)
        .handle(HttpEngineOrders::toResult);
  }

  private static OrderResult toResult(@Nullable HttpAnswer response, @Nullable Throwable failure) {
    if (response == null) {
      boolean sent = !(failure instanceof HttpExchangeException e) || e.sent();
      return sent ? OrderResult.OUTCOME_UNKNOWN : OrderResult.NOT_DONE;
    }
    int status = response.status();
    if (status == OK) {
      return OrderResult.DONE;
    }
    if (status == CONFLICT) {
      return OrderResult.FENCED;
    }
    boolean refused = status < SERVER_ERROR || status == UNAVAILABLE;
    return refused ? OrderResult.NOT_DONE : OrderResult.OUTCOME_UNKNOWN;
  }
}
