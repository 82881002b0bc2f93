package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One channel of a client. */
public final class Client implements AutoCloseable {
  private final Record record;
  private final String name;
  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  public Client(Record record, String name, int port) throws IOException {
    this.record = record;
    this.name = name;
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  /** Sends a request with a body. */
  public void send(String method, String path, String id, long deadlineMs, byte[] body)
      throws IOException {
    send(method, path, id, deadlineMs, body, "");
  }

  public void send(
      String method, String path, String id, long deadlineMs, byte[] body, String fields)
      throws IOException {
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: small.example\r\nX-Currantslip-Request-Id: "
            + id
            + "\r\nX-Currantslip-Deadline-Ms: "
            + deadlineMs
            + "\r\n"
            + fields
            + (body.length > 0 || method.equals("POST")
                ? "Content-Length: " + body.length + "\r\n"
                : "")
            + "\r\n";
    record.line("send", name, id + " " + method + " " + path + " bytes=" + body.length);
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  public Http.Head head(long timeoutMs) throws IOException {
    socket.setSoTimeout((int) timeoutMs);
    return Http.readHead(in);
  }

  public InputStream in() {
    return in;
  }

  public void setTimeout(long ms) throws IOException {
    socket.setSoTimeout((int) ms);
  }

  /** Returns the status of the whole answer, 0 if the channel ended without one. */
  public int answer(String id, long timeoutMs) {
    try {
      Http.Head head = head(timeoutMs);
      if (head == null) {
        record.line("closed", name, id + " without an answer");
        return 0;
      }
      byte[] body = Http.readBody(in, head);
      record.line(
          "answer",
          name,
          id + " " + head.status() + " " + new String(body, StandardCharsets.ISO_8859_1));
      return head.status();
    } catch (IOException e) {
      record.line("closed", name, id + " without an answer: " + e.getMessage());
      return 0;
    }
  }

  @Override
  public void close() throws IOException {
    record.line("leave", name, "");
    socket.close();
  }
}
