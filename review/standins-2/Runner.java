package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a runner. A case says how a request is worked on; the default answers at once. */
public final class Runner {
  /** Works on a request that has been read. */
  public interface Work {
    void run(Runner runner, Http.Head head, byte[] body, OutputStream out) throws Exception;
  }

  private static final long BEAT_MS = 1_200;

  private final Record record;
  private final Store store;
  private final String id;
  private final String service;
  private final String version;
  private final int slots;
  private final ServerSocket server;
  private final long born = System.currentTimeMillis();
  private final ExecutorService threads = Executors.newCachedThreadPool(Text.daemon("runner"));
  public final AtomicInteger running = new AtomicInteger();
  public volatile Work work;
  private volatile String zone = "zone-a";
  private int seq;
  private String state = "ready";

  public Runner(
      Record record, Store store, String id, String service, String version, int slots, Work work)
      throws IOException {
    this.record = record;
    this.store = store;
    this.id = id;
    this.service = service;
    this.version = version;
    this.slots = slots;
    this.work = work;
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    threads.execute(this::accept);
  }

  public String id() {
    return id;
  }

  public void setZone(String name) {
    zone = name;
  }

  /** Writes its entry now and with each beat from now on. */
  public void register(String newState) {
    boolean first = seq == 0;
    write(newState);
    if (first) {
      threads.execute(this::beat);
    }
  }

  private void beat() {
    try {
      while (!server.isClosed()) {
        Thread.sleep(BEAT_MS);
        write(null);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void write(String newState) {
    state = newState == null ? state : newState;
    seq++;
    store.put(
        "servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"%s\","
                + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d,\"born\":%d}")
            .formatted(
                service, server.getLocalPort(), zone, version, slots, state, seq, born));
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        byte[] body = Http.readBody(in, head);
        String expected = head.field("X-Currantslip-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          write(socket.getOutputStream(), "421 Misdirected Request", "", head, "");
          continue;
        }
        if (head.first().contains(" /health ")) {
          write(socket.getOutputStream(), "200 OK", "X-Currantslip-Instance-Id: " + id + "\r\n", head, "");
          continue;
        }
        String request = head.field("X-Currantslip-Request-Id");
        if (running.incrementAndGet() > slots + slots) {
          running.decrementAndGet();
          record.line("full", id, request);
          write(
              socket.getOutputStream(),
              "503 Service Unavailable",
              "X-Currantslip-Not-Executed: 1\r\n",
              head,
              "");
          continue;
        }
        record.line("run", id, request + " bytes=" + body.length);
        try {
          work.run(this, head, body, socket.getOutputStream());
          record.line("ran", id, request);
        } finally {
          running.decrementAndGet();
        }
      }
    } catch (Exception e) {
      record.line("broke", id, String.valueOf(e.getMessage()));
    }
  }

  /** Writes a complete answer with a length. */
  public static void write(
      OutputStream out, String status, String fields, Http.Head request, String body)
      throws IOException {
    String text =
        "HTTP/1.1 "
            + status
            + "\r\nContent-Type: text/plain\r\nX-Currantslip-Request-Id: "
            + request.field("X-Currantslip-Request-Id")
            + "\r\n"
            + fields
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Answers with success after a time. */
  public static Work after(long ms) {
    return (runner, head, body, out) -> {
      Thread.sleep(ms);
      String id = head.field("X-Currantslip-Request-Id");
      write(out, "200 OK", "X-Currantslip-Response-Seal: seal-" + id + "\r\n", head, "done " + id);
    };
  }

  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      // The runner ends anyway.
    }
    threads.shutdownNow();
  }
}
