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

/** Runs an edge node as a process: handles signals, settings reloads and the exit status. */
public final class EdgeProcess {
  private static final int EXIT_OK = 0;
  private static final int EXIT_UNCLEAN_STOP = 1;
  private static final int EXIT_START_FAILED = 4;

  /** Interval at which the settings file is checked for changes made without a signal. */
  private static final long SETTINGS_POLL_MS = 1_000;

  private final Path settingsFile;
  private String settingsText = "";

  private EdgeProcess(Path file) {
    this.settingsFile = file;
  }

  /** Runs a node until it is stopped; returns the exit status. */
  public static int run(Path file, EdgeSettings settings, PrintStream err) {
    LogSetup.apply(settings.getLog());
    EdgeNode node;
    try {
      node = EdgeNode.start(settings);
    } catch (Exception e) {
      err.println(ResultCode.INTERNAL.number() + " cannot start: " + e);
      return EXIT_START_FAILED;
    }
    EdgeProcess process = new EdgeProcess(file);
    process.watchSettings();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndExit(node), "planned-stop"));
    return awaitExitStatus(node);
  }

  /** Runs a training workload on loopback, whose loaded classes the build archives for CDS. */
  public static int rehearse(PrintStream err) {
    try {
      CdsTrainingRun.run();
      return EXIT_OK;
    } catch (Exception e) {
      err.println(ResultCode.INTERNAL.number() + " CDS training run failed: " + e);
      return EXIT_START_FAILED;
    }
  }

  private void watchSettings() {
    settingsText = readSettings();
    Signal.handle(new Signal("HUP"), signal -> reload());
    Thread thread =
        new Thread(
            () -> {
              while (!Thread.currentThread().isInterrupted()) {
                try {
                  Thread.sleep(SETTINGS_POLL_MS);
                } catch (InterruptedException e) {
                  return;
                }
                if (!readSettings().equals(settingsText)) {
                  reload();
                }
              }
            },
            "settings");
    thread.setDaemon(true);
    thread.start();
  }

  private String readSettings() {
    try {
      return Files.readString(settingsFile);
    } catch (IOException e) {
      EventLog.write(
          LogEvent.SETTINGS_REJECTED, "file=%s unreadable=%s".formatted(settingsFile, e));
      return settingsText;
    }
  }

  /** Applies the log settings, the only ones that take effect without a restart. */
  private synchronized void reload() {
    settingsText = readSettings();
    try {
      LogSetup.apply(SettingsLoader.loadEdge(settingsText).getLog());
      EventLog.write(LogEvent.SETTINGS_RELOADED, "file=" + settingsFile);
    } catch (SettingsException e) {
      EventLog.write(LogEvent.SETTINGS_REJECTED, "problems=" + e.problems());
    }
  }

  /**
   * Stops the node and exits with the status of the planned stop instead of the signal's status.
   */
  private static void stopAndExit(EdgeNode node) {
    node.beginStop();
    int exitStatus = awaitExitStatus(node);
    LogSetup.stop();
    Runtime.getRuntime().halt(exitStatus);
  }

  private static int awaitExitStatus(EdgeNode node) {
    try {
      return node.awaitStop() ? EXIT_OK : EXIT_UNCLEAN_STOP;
    } catch (Exception e) {
      EventLog.write(LogEvent.TASK_FAILED, "thread=main", e);
      return EXIT_UNCLEAN_STOP;
    }
  }
}
