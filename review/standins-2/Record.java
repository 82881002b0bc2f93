package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
public final class Record {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  public Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  public synchronized void line(String what, String who, String text) {
    out.printf("%7.3f %-9s %-12s %s%n", (System.nanoTime() - startNs) / 1e9, what, who, text);
    out.flush();
  }

  public void say(String text) {
    line("case", "", text);
    System.out.println(text);
  }
}
