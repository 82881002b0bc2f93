package org.currantslip.node.edge;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.currantslip.adapter.settings.SettingsException;
import org.currantslip.adapter.settings.SettingsLoader;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.ResultCode;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.log.LogSetup;
import org.currantslip.schema.EdgeSettings;
import sun.misc.Signal;

/** Runs an edge node as a process: its signals, its settings file and its exit status. */
public final class EdgeProcess {
  private static final int EXIT_OK = 0;
  private static final int EXIT_NOT_CLEAN = 1;
  private static final int EXIT_START = 4;

  /** A file that changes without a signal is found this soon. */
  private static final long WATCH_MS = 1_000;

  private final Path file;
  private String text = "";

  private EdgeProcess(Path file) {
    this.file = file;
  }

  /** Runs a node until it is told to stop; returns the exit status. */
  public static int run(Path file, EdgeSettings settings, PrintStream err) {
    LogSetup.apply(settings.getLog());
    EdgeNode node;
    try {
      node = EdgeNode.start(settings);
    } catch (Exception e) {
      err.println(ResultCode.INTERNAL.number() + " cannot start: " + e);
      return EXIT_START;
    }
    EdgeProcess process = new EdgeProcess(file);
    process.watch();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "planned-stop"));
    return await(node);
  }

  /** Runs a rehearsal on loopback, by which the build finds the classes to keep in its archive. */
  public static int rehearse(PrintStream err) {
    try {
      Rehearsal.run();
      return EXIT_OK;
    } catch (Exception e) {
      err.println(ResultCode.INTERNAL.number() + " rehearsal failed: " + e);
      return EXIT_START;
    }
  }

  private void watch() {
    text = read();
    Signal.handle(new Signal("HUP"), signal -> reload());
    Thread thread =
        new Thread(
            () -> {
              while (!Thread.currentThread().isInterrupted()) {
                try {
                  Thread.sleep(WATCH_MS);
                } catch (InterruptedException e) {
                  return;
                }
                if (!read().equals(text)) {
                  reload();
                }
              }
            },
            "settings");
    thread.setDaemon(true);
    thread.start();
  }

  private String read() {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      EventLog.write(LogEvent.SETTINGS_REJECTED, "file=%s unreadable=%s".formatted(file, e));
      return text;
    }
  }

  /** Applies what can change while the node runs: how it logs. Addresses need a restart. */
  private synchronized void reload() {
    text = read();
    try {
      LogSetup.apply(SettingsLoader.loadEdge(text).getLog());
      EventLog.write(LogEvent.SETTINGS_RELOADED, "file=" + file);
    } catch (SettingsException e) {
      EventLog.write(LogEvent.SETTINGS_REJECTED, "problems=" + e.problems());
    }
  }

  /** Ends the process with the outcome of the planned stop in place of the signal's status. */
  private static void stop(EdgeNode node) {
    node.beginStop();
    int code = await(node);
    LogSetup.stop();
    Runtime.getRuntime().halt(code);
  }

  private static int await(EdgeNode node) {
    try {
      return node.awaitStop() ? EXIT_OK : EXIT_NOT_CLEAN;
    } catch (Exception e) {
      EventLog.write(LogEvent.TASK_FAILED, "thread=main", e);
      return EXIT_NOT_CLEAN;
    }
  }
}
