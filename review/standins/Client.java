import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A client of PROTOCOL.md on a socket of its own. */
final class Client {
  /** An answer; status -1 means that the channel ended without one, -2 that none came in time. */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String note) {
    static Answer none(int status, String note) {
      return new Answer(status, Map.of(), new byte[0], false, note);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private Client() {}

  static Answer get(String host, int port, String path, int timeoutMs) {
    try (Socket socket = open(host, port, timeoutMs)) {
      socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
      return read(new BufferedInputStream(socket.getInputStream()), "GET");
    } catch (SocketTimeoutException e) {
      return Answer.none(-2, e.toString());
    } catch (IOException e) {
      return Answer.none(-1, e.toString());
    }
  }

  static Socket open(String host, int port, int timeoutMs) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    socket.connect(new InetSocketAddress(host, port), 1_000);
    return socket;
  }

  /** Sends a request whose body goes out in pieces with a pause between, then reads the answer. */
  static Answer send(Socket socket, String head, byte[] body, int piece, long pauseMs) {
    try {
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      for (int from = 0; from < body.length; from += piece) {
        out.write(body, from, Math.min(piece, body.length - from));
        out.flush();
        if (pauseMs > 0) {
          Thread.sleep(pauseMs);
        }
      }
      return read(new BufferedInputStream(socket.getInputStream()), head.substring(0, head.indexOf(' ')));
    } catch (SocketTimeoutException e) {
      return Answer.none(-2, e.toString());
    } catch (IOException e) {
      return Answer.none(-1, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Answer.none(-1, e.toString());
    }
  }

  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the channel ended");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    return headers;
  }

  static Answer read(InputStream in, String method) throws IOException {
    String status = line(in);
    while (status.startsWith("HTTP/1.1 1")) {
      headers(in);
      status = line(in);
    }
    Map<String, String> headers = headers(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int code = Integer.parseInt(status.split(" ")[1]);
    boolean complete = false;
    String note = "";
    try {
      if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
        for (int size = chunk(in); size > 0; size = chunk(in)) {
          body.write(in.readNBytes(size));
          line(in);
        }
        headers(in);
        complete = true;
      } else if (headers.containsKey("Content-Length")) {
        int size = Integer.parseInt(headers.get("Content-Length"));
        body.write(in.readNBytes(size));
        complete = body.size() == size;
      } else {
        body.write(in.readAllBytes());
        complete = true;
      }
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      note = e.toString();
    }
    return new Answer(code, headers, body.toByteArray(), complete, note);
  }

  private static int chunk(InputStream in) throws IOException {
    return Integer.parseInt(line(in).split(";")[0].strip(), 16);
  }
}
