package org.currantslip.standin.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.standin.caller.CallerClient;

/** The parts of the demonstration that the script calls one after another. */
public final class DemoCommands {
  private DemoCommands() {}

  /** Declares the arguments. */
  public static void declare(Subparser parser) {
    parser.help("parts of bin/demo");
    parser.addArgument("part").choices("ports", "entry", "traffic", "stop");
    parser.addArgument("--plan").help("TOML file that says what runs");
    parser.addArgument("--count").type(Integer.class).setDefault(1).help("ports to find");
    parser.addArgument("--request-id-file").help("file for the id of an answered request");
  }

  /** Runs one part and returns the exit code. */
  public static int run(Namespace args) throws IOException {
    String part = args.getString("part");
    if (part.equals("ports")) {
      System.out.println(
          FreePorts.find(args.getInt("count")).stream()
              .map(String::valueOf)
              .collect(Collectors.joining(" ")));
      return 0;
    }
    DemoPlan plan = DemoPlan.read(Path.of(args.getString("plan")));
    Checks checks = Checks.create();
    try (CallerClient client = CallerClient.start()) {
      switch (part) {
        case "entry" -> EntryStep.run(plan, client, checks);
        case "traffic" -> {
          String id = ChatStep.create(plan, client, checks).run();
          OnceStep.create(plan, client, checks).run();
          Path file = Path.of(args.getString("request_id_file"));
          Files.writeString(file, id, StandardCharsets.UTF_8);
        }
        default -> StopStep.run(plan, client, checks);
      }
    }
    return checks.finish();
  }
}
