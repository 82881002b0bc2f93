package org.currantslip.adapter.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class HttpClientsTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final String END_OF_HEAD = "\r\n\r\n";

  private final HttpClient client = HttpClients.start("test", 2);

  @AfterEach
  void stop() {
    HttpClients.stop(client);
  }

  /** Starts a server that responds once without a length, then closes or resets the connection. */
  private static void startServer(ServerSocket server, boolean reset) {
    Thread thread = new Thread(() -> respondOnce(server, reset));
    thread.setDaemon(true);
    thread.start();
  }

  private static void respondOnce(ServerSocket server, boolean reset) {
    try (Socket socket = server.accept()) {
      StringBuilder head = new StringBuilder();
      while (!head.toString().endsWith(END_OF_HEAD)) {
        head.append((char) socket.getInputStream().read());
      }
      byte[] response = "HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.UTF_8);
      socket.getOutputStream().write(response);
      if (reset) {
        socket.setSoLinger(true, 0);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private BufferedResponse get(int port) {
    return BufferedExchange.send(
            client.newRequest("127.0.0.1", port), Runnable::run, TIMEOUT_MS, 1_000)
        .join();
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
  }

  @Test
  void responseWithoutLengthEndsAtConnectionClose() throws IOException {
    try (ServerSocket server = listen()) {
      startServer(server, false);
      assertThat(get(server.getLocalPort()).body().toStringUtf8()).isEqualTo("part");
    }
  }

  @Test
  void responseWithoutLengthFailsIfConnectionIsReset() throws IOException {
    try (ServerSocket server = listen()) {
      startServer(server, true);
      assertThrows(CompletionException.class, () -> get(server.getLocalPort()));
    }
  }
}
