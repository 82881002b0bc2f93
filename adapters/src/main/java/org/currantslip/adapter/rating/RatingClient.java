package org.currantslip.adapter.rating;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.stream.StreamSupport;
import org.currantslip.adapter.http.JsonCalls;
import org.currantslip.adapter.http.PlatformException;
import org.eclipse.jetty.client.HttpClient;

/** The rating service over HTTP. */
public final class RatingClient implements RatingSource {
  private static final long TIMEOUT_MS = 2000;

  private final JsonCalls calls;
  private final String url;

  private RatingClient(JsonCalls calls, String url) {
    this.calls = calls;
    this.url = url;
  }

  /** Returns a client whose futures complete on {@code executor}. */
  public static RatingClient create(HttpClient client, URI address, Executor executor) {
    return new RatingClient(
        JsonCalls.create(client, executor, TIMEOUT_MS), address.resolve("/ratings").toString());
  }

  @Override
  public CompletableFuture<List<Rating>> since(long cursor) {
    return calls.get(url + "?since=" + cursor, RatingClient::parse);
  }

  private static List<Rating> parse(ByteString body) {
    JsonNode ratings = JsonCalls.parse(body).path("ratings");
    if (!ratings.isArray()) {
      throw PlatformException.of("answer without ratings");
    }
    return StreamSupport.stream(ratings.spliterator(), false).map(RatingClient::rating).toList();
  }

  private static Rating rating(JsonNode node) {
    boolean whole =
        node.path("request_id").isTextual()
            && node.path("good").isBoolean()
            && node.path("cursor").isIntegralNumber();
    if (!whole) {
      throw PlatformException.of("rating without request_id, good or cursor");
    }
    return new Rating(
        node.path("request_id").asText(),
        node.path("good").asBoolean(),
        node.path("cursor").asLong());
  }
}
