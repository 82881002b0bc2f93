package org.currantslip.standin.contract;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.caller.CallerClient;
import org.currantslip.standin.engine.EngineOptions;
import org.currantslip.standin.engine.VersionProfile;
import org.currantslip.standin.http.StandinApp;
import org.currantslip.standin.http.StandinServer;
import org.eclipse.jetty.client.HttpClient;

/** Stand-in server, HTTP clients and the single thread on which futures complete. */
final class ContractFixture implements AutoCloseable {
  static final String HOST = "127.0.0.1";
  static final long WAIT_S = 20;
  private static final long SEED = 7;

  final StandinServer server = StandinServer.start();
  final HttpClient http = HttpClients.start("contract", 8);
  final CallerClient caller = CallerClient.start();
  final ExecutorService executor = Executors.newSingleThreadExecutor();

  int add(StandinApp app) {
    return server.add(HOST, 0, app, SEED);
  }

  static URI uri(int port) {
    return URI.create("http://" + HOST + ":" + port);
  }

  static EndpointRecord engine(int port) {
    return EndpointRecord.newBuilder()
        .setId("e1")
        .setAddress(HOST + ":" + port)
        .setModel("m")
        .setVersion("v1")
        .build();
  }

  static EngineOptions engineOptions(boolean checksFencing, long tokenMs) {
    VersionProfile profile = new VersionProfile(tokenMs, tokenMs, 8, 1, 0);
    return new EngineOptions(
        "e1", "m", "v1", 4, 0, 0, checksFencing, 2, 0, SEED, Map.of("v1", profile));
  }

  CallerAnswer control(int port, String method, String path, String body) {
    return caller.ask(new CallerCall(HOST + ":" + port, method, path, Map.of(), body));
  }

  void setFaults(int port, String faults) {
    CallerAnswer answer = control(port, "POST", "/faults", faults);
    if (answer.status() != 200) {
      throw new IllegalArgumentException(answer.describe());
    }
  }

  /** Returns a port that nothing listens on. */
  static int closedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() throws InterruptedException {
    HttpClients.stop(http);
    caller.close();
    server.close();
    executor.shutdown();
    if (!executor.awaitTermination(WAIT_S, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the executor does not terminate");
    }
  }
}
