import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client's channel to a node: sends one request at a time and keeps the channel if it may. */
final class Client implements AutoCloseable {
  /** An answer; status 0 stands for a channel that failed. */
  record Answer(int status, Map<String, String> headers, String body) {}

  private final String host;
  private final int port;
  private Socket socket;
  private InputStream in;

  Client(String host, int port) {
    this.host = host;
    this.port = port;
  }

  Answer send(String method, String path, String headers, String body, int timeoutMs) {
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
      }
      socket.setSoTimeout(timeoutMs);
      String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
      socket
          .getOutputStream()
          .write(
              (method + " " + path + " HTTP/1.1\r\n" + headers + length + "\r\n" + body)
                  .getBytes(StandardCharsets.ISO_8859_1));
      return read();
    } catch (IOException e) {
      close();
      return new Answer(0, Map.of(), String.valueOf(e));
    }
  }

  private Answer read() throws IOException {
    String status = line();
    Map<String, String> headers = new HashMap<>();
    for (String h = line(); !h.isEmpty(); h = line()) {
      int i = h.indexOf(':');
      headers.put(h.substring(0, i).toLowerCase(Locale.ROOT), h.substring(i + 1).strip());
    }
    StringBuilder body = new StringBuilder();
    if ("chunked".equals(headers.get("transfer-encoding"))) {
      for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
        body.append(new String(bytes(size), StandardCharsets.ISO_8859_1));
        line();
      }
      line();
    } else {
      int size = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      body.append(new String(bytes(size), StandardCharsets.ISO_8859_1));
    }
    if ("close".equalsIgnoreCase(headers.get("connection"))) {
      close();
    }
    return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body.toString());
  }

  private byte[] bytes(int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new IOException("the answer ends early");
    }
    return bytes;
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the channel was closed");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // Closed already.
    }
    socket = null;
  }
}
