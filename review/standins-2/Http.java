package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 heads and bodies from a socket. */
public final class Http {
  private Http() {}

  /** First line, header fields by lower-case name. */
  public record Head(String first, Map<String, String> fields) {
    public String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    public int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  /** Returns the next head, or null at the end of the input. */
  public static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("inside a head");
      }
      if (line.isEmpty()) {
        return new Head(first, fields);
      }
      int colon = line.indexOf(':');
      fields.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
  }

  public static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("inside a line");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a whole body with a length or in chunks. */
  public static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String line = readLine(in);
        if (line == null) {
          throw new EOFException("inside a body");
        }
        int size = Integer.parseInt(line.split(";")[0].strip(), 16);
        if (size == 0) {
          readLine(in);
          return body.toByteArray();
        }
        body.write(exactly(in, size));
        readLine(in);
      }
    }
    String length = head.field("content-length");
    return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
  }

  public static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("inside a body");
    }
    return bytes;
  }
}
