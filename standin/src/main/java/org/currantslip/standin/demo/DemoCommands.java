package org.currantslip.standin.demo;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.adapter.http.FreePorts;
import org.currantslip.standin.caller.CallerClient;

/** The subcommand for the parts of the demonstration, which bin/demo runs in turn. */
public final class DemoCommands {
  private DemoCommands() {}

  /** Declares the command-line arguments. */
  public static void declare(Subparser parser) {
    parser.help("parts of bin/demo");
    parser.addArgument("part").choices("ports", "entry", "traffic", "stop", "billing");
    parser.addArgument("--plan").help("TOML file with the nodes, services and requests");
    parser.addArgument("--count").type(Integer.class).setDefault(1).help("number of ports to find");
    parser.addArgument("--request-id-file").help("file to write the id of an answered request to");
    parser.addArgument("--answered-file").help("file to append the ids of answered requests to");
    parser.addArgument("--object-api").help("address of the object API");
    parser
        .addArgument("--first-node")
        .type(Integer.class)
        .setDefault(0)
        .help("index of the first node to stop");
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
    Path answeredFile = Path.of(args.getString("answered_file"));
    try (CallerClient client = CallerClient.start()) {
      DemoCaller caller = DemoCaller.create(client);
      switch (part) {
        case "entry" -> EntryStep.run(plan, client, checks);
        case "traffic" -> {
          String id = ChatStep.create(plan, caller, checks).run();
          Path idFile = Path.of(args.getString("request_id_file"));
          Files.writeString(idFile, id, StandardCharsets.UTF_8);
          AtMostOnceStep.create(plan, caller, ServiceControl.create(client, plan.apps()), checks)
              .run();
        }
        case "stop" -> StopStep.run(plan, args.getInt("first_node"), caller, checks);
        default -> {
          URI objectApi = URI.create(args.getString("object_api"));
          BillingStep.run(objectApi, Files.readAllLines(answeredFile), checks);
        }
      }
      Files.write(
          answeredFile, caller.answered(), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
    return checks.finish();
  }
}
