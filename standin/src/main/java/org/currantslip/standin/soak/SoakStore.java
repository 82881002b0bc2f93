package org.currantslip.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** Writes of the operator and of the endpoints to the store, without faults between. */
final class SoakStore {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient http;
  private final int port;

  private SoakStore(HttpClient http, int port) {
    this.http = http;
    this.port = port;
  }

  static SoakStore at(HttpClient http, int port) {
    return new SoakStore(http, port);
  }

  /** Creates an object unless it exists. */
  void create(String kind, String name, String spec) throws Exception {
    call("POST", kind, object(name, spec).toString(), CONFLICT);
  }

  void replace(String kind, String name, String spec) throws Exception {
    String path = kind + "/" + name;
    ObjectNode object = object(name, spec);
    object.withObject("/metadata").set("rev", revision(path));
    call("PUT", path, object.toString(), OK);
  }

  /** Deletes an object if it exists. */
  void delete(String kind, String name) throws Exception {
    String path = kind + "/" + name;
    call("DELETE", path + "?rev=" + revision(path).asLong(), "", NOT_FOUND);
  }

  private JsonNode revision(String path) throws Exception {
    return JSON.readTree(call("GET", path, "", NOT_FOUND)).path("metadata").path("rev");
  }

  private static ObjectNode object(String name, String spec) throws IOException {
    ObjectNode object = JSON.createObjectNode();
    object.putObject("metadata").put("name", name);
    object.set("spec", JSON.readTree(spec));
    return object;
  }

  private String call(String method, String path, String body, int accepted) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/api/objects/" + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Content-Type", "application/json")
            .build();
    HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (answer.statusCode() != OK && answer.statusCode() != accepted) {
      throw new IOException("the object API answers " + answer.statusCode() + " " + answer.body());
    }
    return answer.body();
  }
}
