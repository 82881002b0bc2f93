package org.currantslip.bench.cost;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads what the threads of a process have used, from Linux's process file system.
 *
 * <p>The counters of a thread that ends are kept as last read, so that later readings do not fall.
 */
final class ProcessUsage {
  private static final double NS_PER_MS = 1e6;
  private static final Splitter WORDS = Splitter.onPattern("\\s+").omitEmptyStrings();

  /** Position of the user time in the text after the name of the process. */
  private static final int USER_TICKS = 11;

  private static final int SYSTEM_TICKS = 12;

  /** Linux reports process times in hundredths of a second on all platforms. */
  private static final double MS_PER_TICK = 10;

  private record ThreadUsage(String group, long cpuNs, long switches) {}

  /**
   * Use since the start of the process.
   *
   * @param cpuMs processor time by group of threads
   * @param switches number of times that a thread waited, which is also the number of wake-ups
   */
  record Reading(Map<String, Double> cpuMs, long switches) {
    double totalMs() {
      return cpuMs.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  private final Path dir;
  private final Map<String, ThreadUsage> threads = new HashMap<>();

  private ProcessUsage(Path dir) {
    this.dir = dir;
  }

  static ProcessUsage of(long pid) {
    return new ProcessUsage(Path.of("/proc", Long.toString(pid)));
  }

  Reading read() throws IOException {
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(dir.resolve("task"))) {
      for (Path task : tasks) {
        readThread(task);
      }
    }
    Map<String, Double> cpuMs = new TreeMap<>();
    threads.values().forEach(t -> cpuMs.merge(t.group(), t.cpuNs() / NS_PER_MS, Double::sum));
    return new Reading(cpuMs, threads.values().stream().mapToLong(ThreadUsage::switches).sum());
  }

  private void readThread(Path task) throws IOException {
    try {
      String name = Files.readString(task.resolve("comm")).strip();
      String cpuNs = WORDS.splitToList(Files.readString(task.resolve("schedstat"))).get(0);
      long switches =
          statusValue(Files.readAllLines(task.resolve("status")), "voluntary_ctxt_switches");
      threads.put(
          task.getFileName().toString(),
          new ThreadUsage(groupOf(name), Long.parseLong(cpuNs), switches));
    } catch (NoSuchFileException e) {
      // The thread has ended since the directory was listed.
      return;
    }
  }

  /** Returns the name without the number that distinguishes the threads of a pool. */
  private static String groupOf(String threadName) {
    return threadName.replaceAll("[-# 0-9]+$", "");
  }

  private static long statusValue(List<String> lines, String key) {
    return lines.stream()
        .filter(line -> line.startsWith(key + ":"))
        .mapToLong(line -> Long.parseLong(WORDS.splitToList(line).get(1)))
        .sum();
  }

  /** Returns user and system time of the whole process, including threads that have ended. */
  double[] userAndSystemMs() throws IOException {
    String stat = Files.readString(dir.resolve("stat"));
    List<String> values = WORDS.splitToList(stat.substring(stat.lastIndexOf(')') + 2));
    return new double[] {
      Long.parseLong(values.get(USER_TICKS)) * MS_PER_TICK,
      Long.parseLong(values.get(SYSTEM_TICKS)) * MS_PER_TICK
    };
  }

  /** Returns the largest resident size that the process had. */
  long peakMemoryKb() throws IOException {
    return statusValue(Files.readAllLines(dir.resolve("status")), "VmHWM");
  }
}
