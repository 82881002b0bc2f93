package org.currantslip.bench.cost;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.currantslip.adapter.http.FreePorts;
import org.currantslip.core.common.LogEvent;

/** An edge node in a process of its own, with the command line of the deployment. */
final class MeasuredNode implements AutoCloseable {
  private static final Path DEPLOYMENT = Path.of("deploy", "system.toml");
  private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"([^\"]*)\"$");
  private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile";
  private static final String SETTINGS_VARIABLE = "CURRANTSLIP_SETTINGS";
  private static final String SETTINGS =
      """
      name = "%s"
      region = "r"
      failure_domain = "z"
      host = "127.0.0.1"
      [listen]
      caller = "127.0.0.1:%d"
      readiness = "127.0.0.1:%d"
      directory = "127.0.0.1:%d"
      peer_port = %d
      metrics_port = %d
      [store]
      address = "%s"
      [stop]
      grace_s = 2
      [log]
      format = "json"
      level = "debug"
      """;

  private static final int PORT_COUNT = 5;
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long POLL_MS = 10;

  private final Process process;
  private final Path log;
  private final int callerPort;
  private final ProcessUsage usage;

  private MeasuredNode(Process process, Path log, int callerPort) {
    this.process = process;
    this.log = log;
    this.callerPort = callerPort;
    usage = ProcessUsage.of(process.pid());
  }

  /** Starts a node and returns once it serves. */
  static MeasuredNode start(String name, String store, Path dir, boolean archive)
      throws IOException {
    List<Integer> ports = FreePorts.find(PORT_COUNT);
    Path settings = dir.resolve(name + ".toml");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            name, ports.get(0), ports.get(1), ports.get(2), ports.get(3), ports.get(4), store));
    Path log = dir.resolve(name + ".log");
    ProcessBuilder builder = new ProcessBuilder(command(archive));
    builder.environment().put(SETTINGS_VARIABLE, settings.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    MeasuredNode node = new MeasuredNode(builder.start(), log, ports.get(0));
    node.awaitServing();
    return node;
  }

  private static List<String> command(boolean archive) throws IOException {
    Matcher matcher = COMMAND.matcher(Files.readString(DEPLOYMENT));
    if (!matcher.find()) {
      throw new IOException("no command in " + DEPLOYMENT);
    }
    List<String> command = new ArrayList<>(Splitter.on(' ').splitToList(matcher.group(1)));
    if (!archive) {
      command.removeIf(word -> word.startsWith(ARCHIVE_OPTION));
    }
    return command;
  }

  /** Reads the log, since any call to the node would add to its processor time. */
  private void awaitServing() throws IOException {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
    while (!Files.readString(log).contains(LogEvent.NODE_SERVING.name())) {
      if (!process.isAlive() || System.nanoTime() > endNs) {
        close();
        throw new IOException("the node does not serve, see " + log);
      }
      Pause.ms(POLL_MS);
    }
  }

  int callerPort() {
    return callerPort;
  }

  ProcessUsage usage() {
    return usage;
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }
}
