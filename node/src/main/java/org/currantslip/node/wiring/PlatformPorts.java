package org.currantslip.node.wiring;

import java.net.URI;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.currantslip.adapter.endpoint.EndpointTimeouts;
import org.currantslip.adapter.endpoint.HttpEndpointCalls;
import org.currantslip.adapter.endpoint.LoadReportClient;
import org.currantslip.adapter.endpoint.LoadReportSource;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.adapter.rating.RatingClient;
import org.currantslip.adapter.rating.RatingSource;
import org.currantslip.adapter.vmlist.VmListClient;
import org.currantslip.adapter.vmlist.VmListSource;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.request.EndpointCalls;
import org.currantslip.core.request.EngineOptions;
import org.currantslip.platform.ObjectsClient;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.TimeoutSettings;
import org.eclipse.jetty.client.HttpClient;

/** The platform and the endpoints as this node reaches them. */
final class PlatformPorts {
  private static final int STORE_THREADS = 4;
  private static final int ENDPOINT_THREADS = 8;

  /** The largest value, as a base 64 text. */
  private static final int MAX_OBJECT_BYTES = ObjectStore.MAX_VALUE_BYTES / 3 * 4 + 4_096;

  private static final long MAX_ANSWER_BYTES = 8L << 20;

  private final HttpClient platformClient;
  private final HttpClient endpointClient;
  private final ObjectStore store;
  private final VmListSource vmList;
  private final Optional<RatingSource> ratings;
  private final EndpointCalls calls;
  private final LoadReportSource loads;

  private PlatformPorts(NodeSettings settings, Executor decisions) {
    platformClient = HttpClients.start("platform", STORE_THREADS);
    endpointClient = HttpClients.start("endpoint", ENDPOINT_THREADS);
    var platform = settings.getPlatform();
    var timeouts = settings.getTimeouts();
    store =
        ObjectsClient.open(
            platformClient,
            platform.getObjectApi(),
            decisions,
            timeouts.getStoreMs(),
            MAX_OBJECT_BYTES);
    vmList = VmListClient.create(platformClient, URI.create(platform.getVmList()), decisions);
    ratings =
        Optional.of(platform.getRatingService())
            .filter(address -> !address.isEmpty())
            .map(address -> RatingClient.create(platformClient, URI.create(address), decisions));
    calls =
        HttpEndpointCalls.create(
            endpointClient, decisions, silenceBounds(timeouts), MAX_ANSWER_BYTES);
    loads = LoadReportClient.create(endpointClient, decisions);
  }

  /**
   * The request engine judges silence, and may wait longer for an at-most-once answer than its
   * caller does; the adapter only ends calls that the engine has forgotten.
   */
  private static EndpointTimeouts silenceBounds(TimeoutSettings times) {
    EngineOptions engine = EngineOptions.of(times.getFirstByteMs(), times.getBetweenChunksMs());
    return new EndpointTimeouts(
        engine.firstByteMs() + engine.lateAnswerMs(),
        engine.betweenDataMs() + engine.lateAnswerMs());
  }

  static PlatformPorts open(NodeSettings settings, Executor decisions) {
    return new PlatformPorts(settings, decisions);
  }

  ObjectStore store() {
    return store;
  }

  VmListSource vmList() {
    return vmList;
  }

  Optional<RatingSource> ratings() {
    return ratings;
  }

  EndpointCalls calls() {
    return calls;
  }

  LoadReportSource loads() {
    return loads;
  }

  void close() {
    HttpClients.stop(endpointClient);
    HttpClients.stop(platformClient);
  }
}
