package org.currantslip.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.rules.RulesException;
import org.currantslip.schema.AdminError;
import org.currantslip.schema.CliSettings;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/** Client of the administration API; tries the configured addresses in order until one responds. */
final class AdminClient implements AutoCloseable {
  private static final int MAX_RESPONSE_BYTES = 64 << 20;
  private static final JsonFormat.Parser PARSER = JsonFormat.parser().ignoringUnknownFields();

  private final HttpClient http;
  private final CliSettings settings;

  private AdminClient(HttpClient http, CliSettings settings) {
    this.http = http;
    this.settings = settings;
  }

  static AdminClient start(CliSettings settings) throws Exception {
    HttpClient http = new HttpClient();
    http.setConnectTimeout(settings.getTimeoutMs());
    http.start();
    return new AdminClient(http, settings);
  }

  /** Sends a read request to the first reachable node. */
  <T extends Message> T get(String path, T prototype) {
    return call(settings.getAdminList(), path, null, prototype, 0);
  }

  /** Sends an idempotent change to the first reachable node. */
  <T extends Message> T post(String path, Message body, T prototype, long extraTimeoutMs) {
    return call(settings.getAdminList(), path, body, prototype, extraTimeoutMs);
  }

  /** Sends a change to the node at {@code address} only. */
  <T extends Message> T postTo(String address, String path, Message body, T prototype) {
    return call(List.of(address), path, body, prototype, 0);
  }

  private <T extends Message> T call(
      List<String> addresses,
      String path,
      @Nullable Message body,
      T prototype,
      long extraTimeoutMs) {
    List<String> failures = new ArrayList<>();
    for (String address : addresses) {
      try {
        return parseResponse(send(address, path, body, extraTimeoutMs), prototype);
      } catch (ExecutionException | TimeoutException e) {
        failures.add(address + ": " + describe(e));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw CliException.of(ResultCode.NO_NODE_REACHABLE, "interrupted");
      }
    }
    throw CliException.of(
        ResultCode.NO_NODE_REACHABLE, "no administration address responded", failures);
  }

  private ContentResponse send(
      String address, String path, @Nullable Message body, long extraTimeoutMs)
      throws InterruptedException, TimeoutException, ExecutionException {
    Request request =
        http.newRequest(address + "/admin/v1/" + path)
            .headers(h -> h.put(HttpHeader.AUTHORIZATION, "Bearer " + settings.getToken()))
            .timeout(settings.getTimeoutMs() + extraTimeoutMs, TimeUnit.MILLISECONDS);
    if (body != null) {
      request
          .method(HttpMethod.POST)
          .body(new StringRequestContent("application/json", toJson(body)));
    }
    var listener =
        new org.eclipse.jetty.client.CompletableResponseListener(request, MAX_RESPONSE_BYTES);
    return listener.send().get();
  }

  private static <T extends Message> T parseResponse(ContentResponse response, T prototype) {
    boolean ok = response.getStatus() / 100 == 2;
    Message.Builder builder = ok ? prototype.newBuilderForType() : AdminError.newBuilder();
    try {
      PARSER.merge(response.getContentAsString(), builder);
    } catch (InvalidProtocolBufferException e) {
      throw CliException.of(
          ResultCode.ADMIN_BODY_MALFORMED,
          "response with status " + response.getStatus() + " is not an administration response");
    }
    if (!ok) {
      throw toException((AdminError) builder.build());
    }
    @SuppressWarnings("unchecked")
    T reply = (T) builder.build();
    return reply;
  }

  private static CliException toException(AdminError error) {
    return CliException.of(
        ResultCode.ofNumber(error.getCode())
            .filter(c -> c != ResultCode.OK)
            .orElse(ResultCode.INTERNAL),
        error.getDetail(),
        error.getProblemList().stream().map(RulesException::describe).collect(Collectors.toList()));
  }

  private static String describe(Exception e) {
    Throwable cause = e.getCause() == null ? e : e.getCause();
    String text = cause.getMessage();
    return cause.getClass().getSimpleName() + (text == null ? "" : " " + text);
  }

  private static String toJson(Message body) {
    try {
      return JsonFormat.printer().preservingProtoFieldNames().print(body);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e);
    }
  }

  @Override
  public void close() throws Exception {
    http.stop();
  }
}
