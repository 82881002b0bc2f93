package org.currantslip.standin;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.VmList;
import org.currantslip.standin.engine.EngineOptions;
import org.currantslip.standin.engine.ModelEngine;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.StandinApp;
import org.currantslip.standin.http.StandinServer;
import org.currantslip.standin.object.ObjectApi;
import org.currantslip.standin.rating.RatingApp;
import org.currantslip.standin.service.PlainService;
import org.currantslip.standin.topology.Topology;
import org.currantslip.standin.topology.TopologyRunner;
import org.currantslip.standin.vmlist.VmListApp;
import org.currantslip.standin.weights.WeightStoreApp;

/** Subcommands that run stand-ins. */
final class StandinCommands {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Clock CLOCK = System::currentTimeMillis;

  private StandinCommands() {}

  static void addTo(Subparsers subparsers) {
    Subparser all = subparsers.addParser("all").help("run the stand-ins of a settings file");
    all.addArgument("--settings").required(true).help("TOML file");
    all.setDefault("run", (StandinCommand) StandinCommands::all);

    Subparser objects = withPort(subparsers.addParser("object-api"));
    number(objects, "--reads-per-s", 2000);
    number(objects, "--writes-per-s", 400);
    objects.setDefault("run", (StandinCommand) StandinCommands::objectApi);

    Subparser weights = withPort(subparsers.addParser("weight-store"));
    number(weights, "--fetches-per-s", 2);
    number(weights, "--transfer-ms", 200);
    weights.setDefault("run", (StandinCommand) StandinCommands::weightStore);

    Subparser ratings = withPort(subparsers.addParser("rating-service"));
    number(ratings, "--lag-ms", 200);
    ratings.setDefault("run", (StandinCommand) StandinCommands::ratingService);

    Subparser vms = withPort(subparsers.addParser("vm-list"));
    number(vms, "--lag-ms", 500);
    vms.setDefault("run", (StandinCommand) StandinCommands::vmList);

    Subparser engine = withPort(subparsers.addParser("engine"));
    engine.addArgument("--id").setDefault("engine-1");
    engine.addArgument("--model").required(true);
    engine.addArgument("--model-version").required(true);
    number(engine, "--slots", 16);
    number(engine, "--load-lag-ms", 200);
    number(engine, "--load-ms", 500);
    number(engine, "--cached-prefixes", 64);
    number(engine, "--event-gap", 0);
    engine.addArgument("--checks-fencing").action(Arguments.storeTrue());
    engine.setDefault("run", (StandinCommand) StandinCommands::engine);

    Subparser service = withPort(subparsers.addParser("service"));
    service.addArgument("--id").setDefault("service-1");
    service.addArgument("--service").required(true);
    service.setDefault("run", (StandinCommand) StandinCommands::service);
  }

  private static Subparser withPort(Subparser parser) {
    number(parser, "--port", 0);
    number(parser, "--seed", 1);
    return parser;
  }

  private static void number(Subparser parser, String flag, int fallback) {
    parser.addArgument(flag).type(Integer.class).setDefault(fallback);
  }

  private static int all(Namespace args) throws InterruptedException {
    Topology topology = Topology.read(Path.of(args.getString("settings")));
    StandinServer server = StandinServer.start();
    new TreeMap<>(TopologyRunner.run(server, topology))
        .forEach((name, port) -> System.out.println(name + " " + port));
    return serve(server);
  }

  private static int objectApi(Namespace args) throws InterruptedException {
    return serveOne(
        args,
        delays ->
            ObjectApi.create(delays, args.getInt("reads_per_s"), args.getInt("writes_per_s")));
  }

  private static int weightStore(Namespace args) throws InterruptedException {
    return serveOne(
        args,
        delays ->
            WeightStoreApp.create(
                delays, args.getInt("fetches_per_s"), args.getInt("transfer_ms")));
  }

  private static int ratingService(Namespace args) throws InterruptedException {
    return serveOne(args, delays -> RatingApp.create(CLOCK, args.getInt("lag_ms")));
  }

  private static int vmList(Namespace args) throws InterruptedException {
    return serveOne(
        args,
        delays -> VmListApp.create(CLOCK, args.getInt("lag_ms"), VmList.getDefaultInstance()));
  }

  private static int engine(Namespace args) throws InterruptedException {
    EngineOptions options =
        new EngineOptions(
            args.getString("id"),
            args.getString("model"),
            args.getString("model_version"),
            args.getInt("slots"),
            args.getInt("load_lag_ms"),
            args.getInt("load_ms"),
            args.getBoolean("checks_fencing"),
            args.getInt("cached_prefixes"),
            args.getInt("event_gap"),
            args.getInt("seed"),
            Map.of());
    return serveOne(args, delays -> ModelEngine.create(options, CLOCK, delays));
  }

  private static int service(Namespace args) throws InterruptedException {
    return serveOne(args, delays -> PlainService.create(args.getString("id")));
  }

  private static int serveOne(Namespace args, Function<Delays, StandinApp> app)
      throws InterruptedException {
    StandinServer server = StandinServer.start();
    int port =
        server.add(LOOPBACK, args.getInt("port"), app.apply(server.delays()), args.getInt("seed"));
    System.out.println("listening " + port);
    return serve(server);
  }

  /** Serves until SIGTERM or SIGINT. */
  private static int serve(StandinServer server) throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(server::close, "standin-stop"));
    System.out.println("ready");
    server.join();
    return 0;
  }
}
