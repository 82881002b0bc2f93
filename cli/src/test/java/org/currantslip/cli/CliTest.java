package org.currantslip.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CliTest {
  private static final String VIEW =
      "\"view\":{\"node\":\"entry-2\",\"view_age_ms\":\"12\",\"config_version\":\"3\"}";
  private static final String RULES =
      "serve model=m version=a # Ana: x\\nrollout model=m version=b stage=1 share=1%"
          + " min_requests=1 # Ana: y\\npause model=m version=b # Bo: wait\\n";
  private static final String CONFIG =
      "{" + VIEW + ",\"config\":{\"version\":\"3\",\"rules_text\":\"" + RULES + "\"}}";

  private static final String EDGE_SETTINGS =
      """
      name = "edge-1"
      region = "r"
      failure_domain = "z"
      host = "127.0.0.1"
      [listen]
      caller = "127.0.0.1:1"
      readiness = "127.0.0.1:2"
      directory = "127.0.0.1:3"
      peer_port = 4
      [store]
      address = "127.0.0.1:5"
      """;

  /**
   * Log lines of two nodes out of order: one with a prefix, one truncated, one of another program.
   */
  private static final String LOGS =
      """
      {"time":"T3","event":4002,"fields":{"request":"r1","config_version":"7","code":"5001","ran":"yes"}}
      not JSON
      n2 {"time":"T2","event":4004,"fields":{"request":"r1","endpoint":"i-4","fault":"SILENT","status":""}}
      {"time":"T1","event":2001,"fields":{"version":"7"}}
      {"time":"T0","event":2001,"fields":{"version":"6"}}
      {"time":"T4","event":4002,"fields":{"request":"r2","code":"1001","ran":"no"}}
      {"time":"T5","event":400""";

  @TempDir private Path dir = Path.of("");
  private final Map<String, String> responses = new ConcurrentHashMap<>();
  private final List<String> requestBodies = Collections.synchronizedList(new ArrayList<>());
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private int applyStatus = 200;

  @BeforeEach
  void start() throws Exception {
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            requestBodies.add(Content.Source.asString(request));
            String path = Request.getPathInContext(request).replace("/admin/v1/", "");
            String responseBody = responses.get(path);
            response.setStatus(
                responseBody == null ? 404 : path.equals("apply") ? applyStatus : 200);
            Content.Sink.write(
                response, true, responseBody == null ? "{}" : responseBody, callback);
            return true;
          }
        });
    server.start();
    write(
        "cli.toml",
        "admin = [\"http://127.0.0.1:1\", \"http://127.0.0.1:%d\"]\ntoken = \"0123456789abcdef\"\n"
            .formatted(connector.getLocalPort()));
    responses.put("config", CONFIG);
  }

  @AfterEach
  void stop() throws Exception {
    server.stop();
  }

  @Test
  void skipsUnreachableAddressAndReportsNodeAndViewAge() throws Exception {
    responses.put("status", "{" + VIEW + "}");
    assertThat(run("status")).isEqualTo(0);
    assertThat(out.toString(UTF_8)).startsWith("node entry-2, view 12 ms old, configuration 3\n");
    assertThat(run("--output", "json", "status")).isEqualTo(0);
    assertThat(out.toString(UTF_8)).contains("\"view_age_ms\": \"12\"");
    assertThat(run("status", "--output", "json")).isEqualTo(0);
    assertThat(out.toString(UTF_8)).contains("\"view_age_ms\": \"12\"");
  }

  @Test
  void writesHtmlBurnReportWithCharts() throws Exception {
    System.setProperty("java.awt.headless", "true");
    String windows =
        "{\"burn_rate\":2.5},{\"burn_rate\":2},{\"burn_rate\":1.5},{\"burn_rate\":1.25}";
    responses.put(
        "burn",
        ("{%s,\"row\":[{\"account\":\"<a>\",\"task\":\"t\",\"target\":0.99,"
                + "\"budget_left\":-0.25,\"window\":[%s]}]}")
            .formatted(VIEW, windows));
    assertThat(run("burn", "--html", "page.txt")).isEqualTo(0);
    assertThat(out.toString(UTF_8)).contains("2.50");
    String page = Files.readString(dir.resolve("page.txt"));
    assertThat(page).contains("<tr class=\"bad\"><td>&lt;a&gt;</td>");
    assertThat(page.split("data:image/png;base64,iVBOR", -1)).hasLength(3);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "check good.txt | 0",
        "check bad.txt | 2",
        "check absent.txt | 2",
        "check marked.txt | 0",
        "check edge.toml --settings-of edge | 0",
        "check nobody.toml --settings-of edge | 2",
        "check bad.txt --settings-of node | 2",
        "why r1 --logs logs.txt | 0",
        "why r9 --logs logs.txt | 1",
        "why r1 --logs absent.txt | 2",
        "diff good.txt --from good.txt | 0",
        "codes | 0",
        "--help | 0",
        "apply --help | 0",
        "nonsense | 2",
        "apply | 2",
        "--settings absent.toml status | 2",
        "--settings bad.txt status | 2",
        "--settings nobody.toml status | 3",
        "why n.1.2 | 1",
        "rollout resume --model m --version b --asked-by A --why y | 2",
        "apply good.txt --base 2 | 4",
      })
  void exitsWithDocumentedCodeWithoutStackTrace(String line, int code) throws Exception {
    write("good.txt", "serve model=m version=a # Ana: x\n");
    write("bad.txt", "serve model=m\n");
    write("marked.txt", "\uFEFFserve model=m version=a # Ana: x\n");
    write("edge.toml", EDGE_SETTINGS);
    write("logs.txt", LOGS);
    write("nobody.toml", "admin = [\"http://127.0.0.1:1\"]\ntoken = \"0123456789abcdef\"\n");
    assertThat(run(Splitter.on(' ').splitToList(line).toArray(new String[0]))).isEqualTo(code);
    assertThat(out + err.toString(UTF_8)).doesNotContain("\tat ");
  }

  @Test
  void reconstructsRequestFromMixedLogs() throws Exception {
    write("logs.txt", LOGS);
    assertThat(run("why", "r1", "--logs", "logs.txt")).isEqualTo(0);
    assertThat(out.toString(UTF_8).lines())
        .containsExactly(
            "T2 ATTEMPT_FAILED request=r1 endpoint=i-4 fault=SILENT",
            "T3 REQUEST_FAILED request=r1 config_version=7 code=5001 ran=yes",
            "outcome: 5001 ENDPOINT_FAILED; it may have run",
            "configuration 7: in force on 1 nodes, from T1 to T1")
        .inOrder();
  }

  @Test
  void takesRequestersFromChangedLines() throws Exception {
    responses.put("apply", "{" + VIEW + ",\"version\":\"4\",\"missing_on\":[\"entry-5\"]}");
    write("new.txt", "serve model=m version=c # Carla: newer\n");
    assertThat(run("apply", "new.txt")).isEqualTo(5);
    assertThat(requestBodies.get(requestBodies.size() - 1)).contains("\"asked_by\": \"Carla\"");
    assertThat(requestBodies.get(requestBodies.size() - 1)).contains("\"base_version\": \"3\"");
    assertThat(out.toString(UTF_8)).contains("not yet in force on: entry-5");
  }

  @Test
  void resumeReplacesPauseLine() throws Exception {
    responses.put("apply", "{" + VIEW + ",\"version\":\"4\"}");
    assertThat(
            run(
                "rollout",
                "resume",
                "--model",
                "m",
                "--version",
                "b",
                "--stage",
                "1",
                "--asked-by",
                "Bo",
                "--why",
                "fine now"))
        .isEqualTo(0);
    String sent = requestBodies.get(requestBodies.size() - 1);
    assertThat(sent).contains("resume model\\u003dm version\\u003db stage\\u003d1 # Bo: fine now");
    assertThat(sent).doesNotContain("pause");
  }

  @Test
  void reportsConflictingChange() throws Exception {
    applyStatus = 409;
    responses.put("apply", "{\"code\":8002,\"detail\":\"configuration 4 was applied by eve\"}");
    write("new.txt", "serve model=m version=c # Carla: newer\n");
    assertThat(run("apply", "new.txt")).isEqualTo(4);
    assertThat(err.toString(UTF_8)).contains("configuration 4 was applied by eve");
  }

  @Test
  void documentationListsEveryCommandAndExitCode() throws Exception {
    String page = Files.readString(Path.of("..", "docs", "CLI.md"));
    Cli.commands().forEach(c -> assertThat(page).contains("| `" + c.name()));
    for (ExitCode code : ExitCode.values()) {
      assertThat(page).contains("| %d | %s |".formatted(code.number(), code.meaning()));
    }
  }

  private int run(String... args) {
    out.reset();
    err.reset();
    String[] resolvedArgs = new String[args.length];
    for (int i = 0; i < args.length; i++) {
      boolean file = args[i].endsWith(".txt") || args[i].endsWith(".toml");
      resolvedArgs[i] = file ? dir.resolve(args[i]).toString() : args[i];
    }
    return Cli.create(
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8),
            Map.of("CURRANTSLIP_SETTINGS", dir.resolve("cli.toml").toString()))
        .run(resolvedArgs);
  }

  private void write(String file, String text) throws IOException {
    Files.writeString(dir.resolve(file), text);
  }
}
