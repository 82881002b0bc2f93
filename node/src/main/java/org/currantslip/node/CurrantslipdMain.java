package org.currantslip.node;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.MutuallyExclusiveGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import org.currantslip.adapter.settings.SettingsException;
import org.currantslip.adapter.settings.SettingsLoader;
import org.currantslip.adapter.settings.SettingsProblem;
import org.currantslip.core.common.ResultCode;
import org.currantslip.node.edge.EdgeProcess;
import org.currantslip.node.log.LogSetup;
import org.currantslip.node.peer.PeerTls;
import org.currantslip.node.wiring.RunningNode;
import org.currantslip.schema.NodeSettings;

/** Entry point of the router process: {@code currantslipd --settings FILE}. */
public final class CurrantslipdMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_UNCLEAN_STOP = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_INVALID_SETTINGS = 3;
  private static final int EXIT_START_FAILED = 4;

  private CurrantslipdMain() {}

  /** Runs a node until it is stopped. */
  public static void main(String[] args) {
    // Avoids loading Java Flight Recorder at startup; no Netty events are recorded.
    System.setProperty("io.netty.jfr.enabled", "false");
    int code = run(args, System.err);
    LogSetup.stop();
    System.exit(code);
  }

  static int run(String[] args, PrintStream err) {
    ArgumentParser parser =
        ArgumentParsers.newFor("currantslipd").build().description("Runs one node of the router.");
    MutuallyExclusiveGroup settingsSource = parser.addMutuallyExclusiveGroup().required(true);
    settingsSource
        .addArgument("--settings")
        .metavar("FILE")
        .help("TOML file with the settings of the node");
    settingsSource
        .addArgument("--edge-settings-from")
        .metavar("VARIABLE")
        .help("environment variable that names the TOML file of an edge node");
    settingsSource
        .addArgument("--rehearse")
        .action(Arguments.storeTrue())
        .help("load the classes of an edge node and exit; used by the build");
    Namespace parsed;
    try {
      parsed = parser.parseArgs(args);
    } catch (HelpScreenException e) {
      return EXIT_OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return EXIT_USAGE;
    }
    if (parsed.getBoolean("rehearse")) {
      return EdgeProcess.rehearse(err);
    }
    String variable = parsed.getString("edge_settings_from");
    if (variable != null) {
      String file = System.getenv(variable);
      if (file == null) {
        err.println(ResultCode.FILE_UNREADABLE.number() + " " + variable + " is not set");
        return EXIT_INVALID_SETTINGS;
      }
      return load(Path.of(file), SettingsLoader::loadEdge, err)
          .map(settings -> EdgeProcess.run(Path.of(file), settings, err))
          .orElse(EXIT_INVALID_SETTINGS);
    }
    return load(Path.of(parsed.getString("settings")), SettingsLoader::loadNode, err)
        .map(settings -> runNode(settings, err))
        .orElse(EXIT_INVALID_SETTINGS);
  }

  /** Parses one kind of settings from TOML text. */
  private interface SettingsParser<T> {
    T parse(String toml) throws SettingsException;
  }

  private static <T> Optional<T> load(Path file, SettingsParser<T> parser, PrintStream err) {
    try {
      return Optional.of(parser.parse(Files.readString(file)));
    } catch (IOException e) {
      err.println(ResultCode.FILE_UNREADABLE.number() + " cannot read " + file);
    } catch (SettingsException e) {
      e.problems().stream().map(SettingsProblem::toString).forEach(err::println);
    }
    return Optional.empty();
  }

  private static int runNode(NodeSettings settings, PrintStream err) {
    LogSetup.apply(settings.getLog());
    RunningNode node;
    try {
      node = RunningNode.start(settings, PeerTls.from(settings.getSecurity()));
    } catch (SSLException e) {
      err.println(ResultCode.SETTINGS_UNREADABLE.number() + " security: " + e.getMessage());
      return EXIT_INVALID_SETTINGS;
    } catch (Exception e) {
      err.println(ResultCode.INTERNAL.number() + " cannot start: " + e.getMessage());
      return EXIT_START_FAILED;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndHalt(node), "planned-stop"));
    return awaitExitCode(node);
  }

  /**
   * Runs the planned stop, then halts so that the exit status reports its outcome, not the signal.
   */
  private static void stopAndHalt(RunningNode node) {
    node.beginPlannedStop();
    int code = awaitExitCode(node);
    LogSetup.stop();
    Runtime.getRuntime().halt(code);
  }

  private static int awaitExitCode(RunningNode node) {
    try {
      return node.awaitStop() ? EXIT_OK : EXIT_UNCLEAN_STOP;
    } catch (Exception e) {
      return EXIT_UNCLEAN_STOP;
    }
  }
}
