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

/** Declares and runs the subcommands that serve stand-ins. */
final class StandinCommands {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Clock SYSTEM_CLOCK = System::currentTimeMillis;

  private StandinCommands() {}

  static void addParsers(Subparsers subparsers) {
    Subparser all = subparsers.addParser("all").help("run all stand-ins of a settings file");
    all.addArgument("--settings").required(true).help("TOML file that lists the stand-ins");
    all.setDefault("run", (StandinCommand) StandinCommands::runAll);

    Subparser objects = addPortAndSeed(subparsers.addParser("object-api"));
    addInteger(objects, "--reads-per-s", 2000);
    addInteger(objects, "--writes-per-s", 400);
    objects.setDefault("run", (StandinCommand) StandinCommands::runObjectApi);

    Subparser weights = addPortAndSeed(subparsers.addParser("weight-store"));
    addInteger(weights, "--fetches-per-s", 2);
    addInteger(weights, "--transfer-ms", 200);
    weights.setDefault("run", (StandinCommand) StandinCommands::runWeightStore);

    Subparser ratings = addPortAndSeed(subparsers.addParser("rating-service"));
    addInteger(ratings, "--lag-ms", 200);
    ratings.setDefault("run", (StandinCommand) StandinCommands::runRatingService);

    Subparser vms = addPortAndSeed(subparsers.addParser("vm-list"));
    addInteger(vms, "--lag-ms", 500);
    vms.setDefault("run", (StandinCommand) StandinCommands::runVmList);

    Subparser engine = addPortAndSeed(subparsers.addParser("engine"));
    engine.addArgument("--id").setDefault("engine-1");
    engine.addArgument("--model").required(true);
    engine.addArgument("--model-version").required(true);
    addInteger(engine, "--slots", 16);
    addInteger(engine, "--load-lag-ms", 200);
    addInteger(engine, "--load-ms", 500);
    addInteger(engine, "--cached-prefixes", 64);
    addInteger(engine, "--event-gap", 0);
    engine.addArgument("--checks-fencing").action(Arguments.storeTrue());
    engine.setDefault("run", (StandinCommand) StandinCommands::runEngine);

    Subparser service = addPortAndSeed(subparsers.addParser("service"));
    service.addArgument("--id").setDefault("service-1");
    service.addArgument("--service").required(true);
    service.setDefault("run", (StandinCommand) StandinCommands::runService);
  }

  private static Subparser addPortAndSeed(Subparser parser) {
    addInteger(parser, "--port", 0);
    addInteger(parser, "--seed", 1);
    return parser;
  }

  private static void addInteger(Subparser parser, String flag, int defaultValue) {
    parser.addArgument(flag).type(Integer.class).setDefault(defaultValue);
  }

  private static int runAll(Namespace args) throws InterruptedException {
    Topology topology = Topology.read(Path.of(args.getString("settings")));
    StandinServer server = StandinServer.start();
    new TreeMap<>(TopologyRunner.run(server, topology))
        .forEach((name, port) -> System.out.println(name + " " + port));
    return serve(server);
  }

  private static int runObjectApi(Namespace args) throws InterruptedException {
    return serveApp(
        args,
        delays ->
            ObjectApi.create(delays, args.getInt("reads_per_s"), args.getInt("writes_per_s")));
  }

  private static int runWeightStore(Namespace args) throws InterruptedException {
    return serveApp(
        args,
        delays ->
            WeightStoreApp.create(
                delays, args.getInt("fetches_per_s"), args.getInt("transfer_ms")));
  }

  private static int runRatingService(Namespace args) throws InterruptedException {
    return serveApp(args, delays -> RatingApp.create(SYSTEM_CLOCK, args.getInt("lag_ms")));
  }

  private static int runVmList(Namespace args) throws InterruptedException {
    return serveApp(
        args,
        delays ->
            VmListApp.create(SYSTEM_CLOCK, args.getInt("lag_ms"), VmList.getDefaultInstance()));
  }

  private static int runEngine(Namespace args) throws InterruptedException {
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
    return serveApp(args, delays -> ModelEngine.create(options, SYSTEM_CLOCK, delays));
  }

  private static int runService(Namespace args) throws InterruptedException {
    return serveApp(args, delays -> PlainService.create(args.getString("id")));
  }

  private static int serveApp(Namespace args, Function<Delays, StandinApp> appFactory)
      throws InterruptedException {
    StandinServer server = StandinServer.start();
    int port =
        server.add(
            LOOPBACK, args.getInt("port"), appFactory.apply(server.delays()), args.getInt("seed"));
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
