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

/** Asks nodes over the administration API, the next address when one cannot be reached. */
final class AdminClient implements AutoCloseable {
  private static final int MAX_ANSWER_BYTES = 64 << 20;
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

  /** Reads from the first node that can be reached. */
  <T extends Message> T get(String path, T shape) {
    return call(settings.getAdminList(), path, null, shape, 0);
  }

  /** Sends a change, which must be safe to send twice, to the first node that can be reached. */
  <T extends Message> T post(String path, Message body, T shape, long extraMs) {
    return call(settings.getAdminList(), path, body, shape, extraMs);
  }

  /** Sends a change to one node. */
  <T extends Message> T postTo(String address, String path, Message body, T shape) {
    return call(List.of(address), path, body, shape, 0);
  }

  private <T extends Message> T call(
      List<String> addresses, String path, @Nullable Message body, T shape, long extraMs) {
    List<String> failures = new ArrayList<>();
    for (String address : addresses) {
      try {
        return read(send(address, path, body, extraMs), shape);
      } catch (ExecutionException | TimeoutException e) {
        failures.add(address + ": " + reason(e));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw CliException.of(ResultCode.NO_NODE_REACHABLE, "interrupted");
      }
    }
    throw CliException.of(
        ResultCode.NO_NODE_REACHABLE, "no administration address answered", failures);
  }

  private ContentResponse send(String address, String path, @Nullable Message body, long extraMs)
      throws InterruptedException, TimeoutException, ExecutionException {
    Request request =
        http.newRequest(address + "/admin/v1/" + path)
            .headers(h -> h.put(HttpHeader.AUTHORIZATION, "Bearer " + settings.getToken()))
            .timeout(settings.getTimeoutMs() + extraMs, TimeUnit.MILLISECONDS);
    if (body != null) {
      request
          .method(HttpMethod.POST)
          .body(new StringRequestContent("application/json", json(body)));
    }
    var listener =
        new org.eclipse.jetty.client.CompletableResponseListener(request, MAX_ANSWER_BYTES);
    return listener.send().get();
  }

  private static <T extends Message> T read(ContentResponse response, T shape) {
    boolean ok = response.getStatus() / 100 == 2;
    Message.Builder builder = ok ? shape.newBuilderForType() : AdminError.newBuilder();
    try {
      PARSER.merge(response.getContentAsString(), builder);
    } catch (InvalidProtocolBufferException e) {
      throw CliException.of(
          ResultCode.ADMIN_BODY_MALFORMED,
          "the answer with status " + response.getStatus() + " is not from a node");
    }
    if (!ok) {
      throw failure((AdminError) builder.build());
    }
    @SuppressWarnings("unchecked")
    T reply = (T) builder.build();
    return reply;
  }

  private static CliException failure(AdminError error) {
    return CliException.of(
        ResultCode.ofNumber(error.getCode())
            .filter(c -> c != ResultCode.OK)
            .orElse(ResultCode.INTERNAL),
        error.getDetail(),
        error.getProblemList().stream().map(RulesException::describe).collect(Collectors.toList()));
  }

  private static String reason(Exception e) {
    Throwable cause = e.getCause() == null ? e : e.getCause();
    String text = cause.getMessage();
    return cause.getClass().getSimpleName() + (text == null ? "" : " " + text);
  }

  private static String json(Message body) {
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
