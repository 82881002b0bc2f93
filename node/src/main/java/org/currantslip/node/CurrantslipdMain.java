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

/** The router process: {@code currantslipd --settings FILE}. */
public final class CurrantslipdMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_NOT_CLEAN = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_SETTINGS = 3;
  private static final int EXIT_START = 4;

  private CurrantslipdMain() {}

  /** Runs a node until it is told to stop. */
  public static void main(String[] args) {
    // Otherwise each start loads the flight recorder, for events that nobody records.
    System.setProperty("io.netty.jfr.enabled", "false");
    int code = run(args, System.err);
    LogSetup.stop();
    System.exit(code);
  }

  static int run(String[] args, PrintStream err) {
    ArgumentParser parser =
        ArgumentParsers.newFor("currantslipd").build().description("Runs one node of the router.");
    MutuallyExclusiveGroup source = parser.addMutuallyExclusiveGroup().required(true);
    source.addArgument("--settings").metavar("FILE").help("settings in TOML");
    source
        .addArgument("--edge-settings-from")
        .metavar("VARIABLE")
        .help("environment variable that names the TOML file of an edge node");
    source
        .addArgument("--rehearse")
        .action(Arguments.storeTrue())
        .help("load the classes of an edge node and end; used by the build");
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
        return EXIT_SETTINGS;
      }
      return load(Path.of(file), SettingsLoader::loadEdge, err)
          .map(s -> EdgeProcess.run(Path.of(file), s, err))
          .orElse(EXIT_SETTINGS);
    }
    return load(Path.of(parsed.getString("settings")), SettingsLoader::loadNode, err)
        .map(s -> serve(s, err))
        .orElse(EXIT_SETTINGS);
  }

  /** Reads settings of one form. */
  private interface Reader<T> {
    T read(String toml) throws SettingsException;
  }

  private static <T> Optional<T> load(Path file, Reader<T> reader, PrintStream err) {
    try {
      return Optional.of(reader.read(Files.readString(file)));
    } catch (IOException e) {
      err.println(ResultCode.FILE_UNREADABLE.number() + " cannot read " + file);
    } catch (SettingsException e) {
      e.problems().stream().map(SettingsProblem::toString).forEach(err::println);
    }
    return Optional.empty();
  }

  private static int serve(NodeSettings settings, PrintStream err) {
    LogSetup.apply(settings.getLog());
    RunningNode node;
    try {
      node = RunningNode.start(settings, PeerTls.from(settings.getSecurity()));
    } catch (SSLException e) {
      err.println(ResultCode.SETTINGS_UNREADABLE.number() + " security: " + e.getMessage());
      return EXIT_SETTINGS;
    } catch (Exception e) {
      err.println(ResultCode.INTERNAL.number() + " cannot start: " + e.getMessage());
      return EXIT_START;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "planned-stop"));
    return await(node);
  }

  /** Ends the process with the outcome of the planned stop in place of the signal's status. */
  private static void stop(RunningNode node) {
    node.beginStop();
    int code = await(node);
    LogSetup.stop();
    Runtime.getRuntime().halt(code);
  }

  private static int await(RunningNode node) {
    try {
      return node.awaitStop() ? EXIT_OK : EXIT_NOT_CLEAN;
    } catch (Exception e) {
      return EXIT_NOT_CLEAN;
    }
  }
}
