package org.currantslip.adapter.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.currantslip.adapter.http.BufferedResponse;
import org.currantslip.adapter.http.ExchangeException;
import org.currantslip.adapter.http.JsonHttpClient;
import org.currantslip.schema.EndpointRecord;
import org.eclipse.jetty.client.HttpClient;
import org.jspecify.annotations.Nullable;

/** Sends commands to model engines over HTTP. */
public final class HttpEngineCommandSender implements EngineCommandSender {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final JsonHttpClient jsonHttpClient;

  private HttpEngineCommandSender(JsonHttpClient jsonHttpClient) {
    this.jsonHttpClient = jsonHttpClient;
  }

  /**
   * Returns an adapter whose futures complete on {@code executor}.
   *
   * @param timeoutMs timeout of one command
   */
  public static HttpEngineCommandSender create(
      HttpClient client, Executor executor, long timeoutMs) {
    return new HttpEngineCommandSender(JsonHttpClient.create(client, executor, timeoutMs));
  }

  @Override
  public CompletableFuture<CommandResult> send(EndpointRecord engine, EngineCommand command) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("order", command.kind().wireName())
        .put("model", command.model())
        .put("version", command.version())
        .put("fencing", command.fencingNumber());
    return jsonHttpClient
        .post(JsonHttpClient.baseUrl(engine.getAddress()) + "/orders", body)
        .handle(HttpEngineCommandSender::toResult);
  }

  private static CommandResult toResult(
      @Nullable BufferedResponse response, @Nullable Throwable failure) {
    if (response == null) {
      boolean sent = !(failure instanceof ExchangeException e) || e.mayHaveBeenSent();
      return sent ? CommandResult.OUTCOME_UNKNOWN : CommandResult.NOT_DONE;
    }
    int status = response.status();
    if (status == OK) {
      return CommandResult.DONE;
    }
    if (status == CONFLICT) {
      return CommandResult.FENCED;
    }
    boolean refused = status < SERVER_ERROR || status == UNAVAILABLE;
    return refused ? CommandResult.NOT_DONE : CommandResult.OUTCOME_UNKNOWN;
  }
}
