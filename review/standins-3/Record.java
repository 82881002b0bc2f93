import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  long ms() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... args) {
    long ms = ms();
    out.printf("%4d.%03d %s%n", ms / 1000, ms % 1000, String.format(format, args));
  }

  /** Writes a line to the record and to standard output. */
  synchronized void say(String format, Object... args) {
    String text = String.format(format, args);
    line("%s", text);
    System.out.println(text);
    out.flush();
  }

  synchronized void close() {
    out.close();
  }
}
