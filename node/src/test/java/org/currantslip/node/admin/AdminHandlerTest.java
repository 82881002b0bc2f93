package org.currantslip.node.admin;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ApplyException;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.OperatorSettings;
import org.currantslip.schema.RuleProblem;
import org.currantslip.schema.StatusReply;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class AdminHandlerTest {
  private static final String TOKEN = "operator-token-0001";

  private final List<String> operationCalls = Collections.synchronizedList(new ArrayList<>());
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);
  private final HttpClient httpClient = HttpClient.newHttpClient();
  private CompletableFuture<?> operationResult =
      CompletableFuture.completedFuture(StatusReply.getDefaultInstance());

  @BeforeEach
  void start() throws Exception {
    AdminOperations operations =
        (AdminOperations)
            Proxy.newProxyInstance(
                AdminOperations.class.getClassLoader(),
                new Class<?>[] {AdminOperations.class},
                (proxy, method, args) -> {
                  operationCalls.add(
                      method.getName() + Arrays.toString(args == null ? new Object[0] : args));
                  return operationResult;
                });
    OperatorSettings operator =
        OperatorSettings.newBuilder().setName("ana").setToken(TOKEN).build();
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(AdminHandler.create(operations, OperatorTokens.of(List.of(operator))));
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.stop();
  }

  @ParameterizedTest
  @CsvSource({
    "Bearer operator-token-0001, 200",
    "bearer operator-token-0001, 200",
    "Bearer operator-token-0002, 401",
    "Bearer operator-token-000, 401",
    "Bearer, 401",
    "operator-token-0001, 401",
    "Basic operator-token-0001, 401",
  })
  void acceptsOnlyOperatorTokens(String header, int status) throws Exception {
    assertThat(send("GET", "status", "", header).statusCode()).isEqualTo(status);
    assertThat(operationCalls.size()).isEqualTo(status == 200 ? 1 : 0);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET | status || 200 | status[]",
        "GET | config || 200 | config[0]",
        "GET | config?version=7 || 200 | config[7]",
        "GET | config?version=x || 400 |",
        "GET | why/n.1.2 || 200 | explainDecision[n.1.2]",
        "GET | usage?account=a&since_ms=5 || 200 | usage[a, 5]",
        "GET | burn || 200 | serviceLevels[]",
        "GET | audit?after=q || 200 | audit[q]",
        "POST | drain/n1 | {\"asked_by\":\"Bo\"} | 200 | drain[ana, Bo, n1]",
        "POST | drain/n1 | {\"asked\":\"Bo\"} | 400 |",
        "POST | drain/n1 | [] | 400 |",
        "POST | apply | { | 400 |",
        "POST | apply | {\"base_version\":-1} | 400 |",
        "POST | status || 404 |",
        "GET | apply || 404 |",
        "GET | why || 404 |",
        "GET | why/a/b || 404 |",
        "DELETE | config || 404 |",
      })
  void routesRequestsToOperations(
      String method, String path, String body, int status, String expectedCall) throws Exception {
    String requestBody = body == null ? "" : body;
    assertThat(send(method, path, requestBody, "Bearer " + TOKEN).statusCode()).isEqualTo(status);
    assertThat(operationCalls).isEqualTo(expectedCall == null ? List.of() : List.of(expectedCall));
  }

  @Test
  void rejectsOversizedBodies() throws Exception {
    String body = "{\"rules_text\":\"" + "x".repeat(3_000_000) + "\"}";
    try {
      HttpResponse<String> response = send("POST", "apply", body, "Bearer " + TOKEN);
      assertThat(response.statusCode()).isEqualTo(ResultCode.BODY_TOO_LARGE.httpStatus());
    } catch (IOException e) {
      // The server may close the connection while the client is still sending.
      assertThat(operationCalls).isEmpty();
    }
    assertThat(operationCalls).isEmpty();
  }

  @Test
  void reportsRuleProblemsMissingNodesAndInternalErrors() throws Exception {
    RuleProblem problem = RuleProblem.newBuilder().setLine(3).setCode(6001).build();
    operationResult = CompletableFuture.failedFuture(ApplyException.invalid(List.of(problem)));
    HttpResponse<String> rejected = send("POST", "apply", "{}", "Bearer " + TOKEN);
    assertThat(rejected.statusCode()).isEqualTo(400);
    assertThat(rejected.body()).contains("\"name\": \"RULES_INVALID\"");
    assertThat(rejected.body()).contains("\"line\": 3");
    operationResult =
        CompletableFuture.completedFuture(ApplyReply.newBuilder().addMissingOn("n4").build());
    assertThat(send("POST", "apply", "{}", "Bearer " + TOKEN).statusCode()).isEqualTo(202);
    operationResult = CompletableFuture.failedFuture(new IllegalStateException("secret"));
    HttpResponse<String> internalError = send("GET", "status", "", "Bearer " + TOKEN);
    assertThat(internalError.statusCode()).isEqualTo(500);
    assertThat(internalError.body()).doesNotContain("secret");
  }

  private HttpResponse<String> send(String method, String path, String body, String authorization)
      throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + connector.getLocalPort() + "/admin/v1/" + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Authorization", authorization)
            .method(method, BodyPublishers.ofString(body))
            .build();
    return httpClient.send(request, BodyHandlers.ofString());
  }
}
