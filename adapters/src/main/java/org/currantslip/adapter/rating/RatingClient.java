package org.currantslip.adapter.rating;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.stream.StreamSupport;
import org.currantslip.adapter.http.JsonHttpClient;
import org.currantslip.adapter.http.PlatformException;
import org.eclipse.jetty.client.HttpClient;

/** Fetches ratings from the rating service over HTTP. */
public final class RatingClient implements RatingSource {
  private static final long TIMEOUT_MS = 2000;

  private final JsonHttpClient jsonHttpClient;
  private final String url;

  private RatingClient(JsonHttpClient jsonHttpClient, String url) {
    this.jsonHttpClient = jsonHttpClient;
    this.url = url;
  }

  /** Returns a client whose futures complete on {@code executor}. */
  public static RatingClient create(HttpClient client, URI baseAddress, Executor executor) {
    return new RatingClient(
        JsonHttpClient.create(client, executor, TIMEOUT_MS),
        baseAddress.resolve("/ratings").toString());
  }

  @Override
  public CompletableFuture<List<Rating>> fetchAfter(long cursor) {
    return jsonHttpClient.get(url + "?since=" + cursor, RatingClient::parse);
  }

  private static List<Rating> parse(ByteString body) {
    JsonNode ratings = JsonHttpClient.parse(body).path("ratings");
    if (!ratings.isArray()) {
      throw PlatformException.of("response has no ratings array");
    }
    return StreamSupport.stream(ratings.spliterator(), false)
        .map(RatingClient::parseRating)
        .toList();
  }

  private static Rating parseRating(JsonNode node) {
    boolean complete =
        node.path("request_id").isTextual()
            && node.path("good").isBoolean()
            && node.path("cursor").isIntegralNumber();
    if (!complete) {
      throw PlatformException.of("rating has no valid request_id, good or cursor");
    }
    return new Rating(
        node.path("request_id").asText(),
        node.path("good").asBoolean(),
        node.path("cursor").asLong());
  }
}
