import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A runner of PROTOCOL.md on a port of its own; what it does with a request is the case's to say. */
final class Runner {
  record Call(String method, String path, Map<String, String> headers, byte[] body, Socket socket, long atMs) {
    String id() {
      return headers.getOrDefault("X-Currantslip-Request-Id", "");
    }
  }

  interface Work {
    void run(Runner runner, Call call, OutputStream out) throws IOException, InterruptedException;
  }

  final String id;
  final String zone;
  private final ServerSocket server;
  private final Work work;
  final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private int seq;

  private Runner(String id, String zone, Work work) throws IOException {
    this.id = id;
    this.zone = zone;
    this.work = work;
    server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept, "runner-" + id);
    thread.setDaemon(true);
    thread.start();
  }

  static Runner start(String id, String zone, Work work) throws IOException {
    return new Runner(id, zone, work);
  }

  int port() {
    return server.getLocalPort();
  }

  /** The entry that the runner writes to the store. */
  Map<String, Object> entry(String service, String state, int slots) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", "127.0.0.1:" + port());
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", new Json.Num(String.valueOf(slots)));
    entry.put("state", state);
    entry.put("cold_left_ms", new Json.Num("0"));
    entry.put("born", new Json.Num("1700000000000"));
    entry.put("seq", new Json.Num(String.valueOf(++seq)));
    return entry;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Thread thread = new Thread(() -> serve(socket), "runner-call-" + id);
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Crashes: the port is closed and all channels are reset. */
  void crash() throws IOException {
    server.close();
    for (Socket socket : open) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // Closed before.
      }
    }
  }

  private void serve(Socket socket) {
    try {
      serveAll(socket);
    } finally {
      open.remove(socket);
    }
  }

  private void serveAll(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (; ; ) {
        String[] first = Client.line(in).split(" ");
        Map<String, String> headers = Client.headers(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.containsKey("Content-Length")) {
          body.write(in.readNBytes(Integer.parseInt(headers.get("Content-Length"))));
        }
        Call call = new Call(first[0], first[1], headers, body.toByteArray(), socket, System.currentTimeMillis());
        String expected = headers.get("X-Currantslip-Expect-Instance");
        if (call.path().equals("/health")) {
          answer(out, 200, Map.of("X-Currantslip-Instance-Id", id), new byte[0]);
        } else if (expected != null && !expected.equals(id)) {
          answer(out, 421, Map.of("X-Currantslip-Instance-Id", id, "X-Currantslip-Request-Id", call.id()), new byte[0]);
        } else {
          calls.add(call);
          work.run(this, call, out);
        }
        if (headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller has gone.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
    headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.write(body);
    out.write(all.toByteArray());
    out.flush();
  }

  /** Answers a request that has run. */
  static void ok(Call call, OutputStream out, String body) throws IOException {
    answer(
        out,
        200,
        Map.of(
            "X-Currantslip-Request-Id", call.id(),
            "X-Currantslip-Response-Seal", "seal." + call.id(),
            "X-Currantslip-Server-Load", "1,0,64",
            "Content-Type", "text/plain"),
        body.getBytes(StandardCharsets.ISO_8859_1));
  }
}
