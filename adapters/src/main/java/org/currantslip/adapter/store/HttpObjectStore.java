package org.currantslip.adapter.store;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.currantslip.adapter.http.HttpAnswer;
import org.currantslip.adapter.http.HttpExchange;
import org.currantslip.adapter.http.HttpExchangeException;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;

/** The object API over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private static final String VERSION_HEADER = "Object-Version";
  private static final String BINARY = "application/octet-stream";
  private static final int MAX_LIST_BYTES = 64 << 20;
  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final HttpClient client;
  private final String base;
  private final Executor executor;
  private final long timeoutMs;

  private HttpObjectStore(HttpClient client, String base, Executor executor, long timeoutMs) {
    this.client = client;
    this.base = base;
    this.executor = executor;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Returns an adapter whose futures complete on {@code executor}.
   *
   * @param timeoutMs time after which a call other than a watch is given up
   */
  public static HttpObjectStore create(
      HttpClient client, URI address, Executor executor, long timeoutMs) {
    return new HttpObjectStore(client, address.resolve("/objects").toString(), executor, timeoutMs);
  }

  @Override
  public CompletableFuture<Long> create(String name, ByteString value) {
    Request request = put(name, value).headers(h -> h.put(HttpHeader.IF_NONE_MATCH, "*"));
    return write(request, value, HttpObjectStore::version);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> get(String name) {
    return read(client.newRequest(base + "/" + name), timeoutMs, a -> found(name, a));
  }

  @Override
  public CompletableFuture<Long> update(String name, ByteString value, long expectedVersion) {
    return write(ifMatch(put(name, value), expectedVersion), value, HttpObjectStore::version);
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    Request request = client.newRequest(base + "/" + name).method(HttpMethod.DELETE);
    return write(ifMatch(request, expectedVersion), ByteString.EMPTY, a -> 0L)
        .thenAccept(version -> {});
  }

  @Override
  public CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit) {
    String query = "?prefix=" + encode(prefix) + "&after=" + encode(startAfter) + "&limit=" + limit;
    return read(client.newRequest(base + query), timeoutMs, a -> ObjectLines.parse(a.body()));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, long waitMs) {
    String query = "?watch=" + afterVersion + "&wait_ms=" + waitMs;
    Request request = client.newRequest(base + "/" + name + query);
    return read(request, waitMs + timeoutMs, a -> found(name, a));
  }

  private Request put(String name, ByteString value) {
    return client
        .newRequest(base + "/" + name)
        .method(HttpMethod.PUT)
        .body(new ByteBufferRequestContent(BINARY, value.asReadOnlyByteBuffer()));
  }

  private static Request ifMatch(Request request, long version) {
    return request.headers(h -> h.put(HttpHeader.IF_MATCH, Long.toString(version)));
  }

  /** Sends a call without effect: whatever goes wrong, nothing was done. */
  private <T> CompletableFuture<T> read(
      Request request, long callTimeoutMs, Function<HttpAnswer, T> reader) {
    return HttpExchange.send(request, executor, callTimeoutMs, MAX_LIST_BYTES)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                throw StoreException.of(Kind.NOT_DONE, failure.toString());
              }
              if (answer.status() >= SERVER_ERROR || !readable(answer.status())) {
                throw StoreException.of(Kind.NOT_DONE, "status " + answer.status());
              }
              return parse(answer, reader, Kind.NOT_DONE);
            });
  }

  private static boolean readable(int status) {
    return status == OK || status == NOT_FOUND || status == NOT_MODIFIED;
  }

  private <T> CompletableFuture<T> write(
      Request request, ByteString value, Function<HttpAnswer, T> reader) {
    if (value.size() > MAX_VALUE_BYTES) {
      String detail = "value of " + value.size() + " bytes exceeds " + MAX_VALUE_BYTES;
      return CompletableFuture.failedFuture(StoreException.of(Kind.NOT_DONE, detail));
    }
    return HttpExchange.send(request, executor, timeoutMs, MAX_VALUE_BYTES)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                throw writeFailure(failure);
              }
              if (answer.status() != OK) {
                throw writeRefusal(answer.status());
              }
              return parse(answer, reader, Kind.OUTCOME_UNKNOWN);
            });
  }

  private static StoreException writeFailure(Throwable failure) {
    boolean sent = !(failure instanceof HttpExchangeException e) || e.sent();
    return StoreException.of(sent ? Kind.OUTCOME_UNKNOWN : Kind.NOT_DONE, failure.toString());
  }

  private static StoreException writeRefusal(int status) {
    String detail = "status " + status;
    if (status == PRECONDITION_FAILED) {
      return StoreException.of(Kind.CONFLICT, detail);
    }
    boolean refused = status < SERVER_ERROR || status == UNAVAILABLE;
    return StoreException.of(refused ? Kind.NOT_DONE : Kind.OUTCOME_UNKNOWN, detail);
  }

  private static <T> T parse(HttpAnswer answer, Function<HttpAnswer, T> reader, Kind malformed) {
    try {
      return reader.apply(answer);
    } catch (IllegalArgumentException e) {
      throw StoreException.of(malformed, "malformed answer: " + e.getMessage());
    }
  }

  private static Optional<StoredObject> found(String name, HttpAnswer answer) {
    if (answer.status() != OK) {
      return Optional.empty();
    }
    return Optional.of(new StoredObject(name, version(answer), answer.body()));
  }

  private static long version(HttpAnswer answer) {
    return Long.parseLong(answer.header(VERSION_HEADER));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
