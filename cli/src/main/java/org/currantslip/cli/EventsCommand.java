package org.currantslip.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.LogEvent;
import org.currantslip.schema.EventsReply;

/** Lists the log events with their numbers and levels. */
final class EventsCommand implements Command {
  @Override
  public String name() {
    return "events";
  }

  @Override
  public String help() {
    return "list log events";
  }

  @Override
  public String example() {
    return "currantslip events";
  }

  @Override
  public void addArguments(Subparser parser) {}

  @Override
  public ExitCode run(Namespace args, CliContext context) {
    EventsReply.Builder reply = EventsReply.newBuilder();
    for (LogEvent event : LogEvent.values()) {
      reply
          .addEventBuilder()
          .setNumber(event.number())
          .setName(event.name())
          .setLevel(event.level().name());
    }
    context.output().show(reply.build(), () -> print(context.output()));
    return ExitCode.OK;
  }

  private static void print(Output output) {
    List<List<String>> events = new ArrayList<>();
    events.add(List.of("event", "name", "level"));
    Arrays.stream(LogEvent.values())
        .map(e -> List.of("" + e.number(), e.name(), e.level().name()))
        .forEach(events::add);
    output.table(events);
  }
}
