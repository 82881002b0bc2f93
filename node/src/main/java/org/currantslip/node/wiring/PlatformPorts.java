package org.currantslip.node.wiring;

import java.net.URI;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.currantslip.adapter.endpoint.EndpointTimeouts;
import org.currantslip.adapter.endpoint.HttpEndpointClient;
import org.currantslip.adapter.endpoint.LoadReportClient;
import org.currantslip.adapter.endpoint.LoadReportSource;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.adapter.rating.RatingClient;
import org.currantslip.adapter.rating.RatingSource;
import org.currantslip.adapter.vmlist.VmListClient;
import org.currantslip.adapter.vmlist.VmListSource;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.request.EndpointClient;
import org.currantslip.core.request.EngineOptions;
import org.currantslip.platform.ObjectsClient;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.TimeoutSettings;
import org.eclipse.jetty.client.HttpClient;

/** Clients for the platform services and for the endpoints. */
final class PlatformPorts {
  private static final int STORE_THREADS = 4;
  private static final int ENDPOINT_THREADS = 8;

  /** Size of a base64-encoded value of the maximum length, plus 4 KiB for the other fields. */
  private static final int MAX_OBJECT_RESPONSE_BYTES = ObjectStore.MAX_VALUE_BYTES / 3 * 4 + 4_096;

  private static final long MAX_ENDPOINT_RESPONSE_BYTES = 8L << 20;

  private final HttpClient platformClient;
  private final HttpClient endpointHttpClient;
  private final ObjectStore store;
  private final VmListSource vmList;
  private final Optional<RatingSource> ratings;
  private final EndpointClient endpointClient;
  private final LoadReportSource loadReports;

  private PlatformPorts(NodeSettings settings, Executor decisionThread) {
    platformClient = HttpClients.start("platform", STORE_THREADS);
    endpointHttpClient = HttpClients.start("endpoint", ENDPOINT_THREADS);
    var platform = settings.getPlatform();
    var timeouts = settings.getTimeouts();
    store =
        ObjectsClient.open(
            platformClient,
            platform.getObjectApi(),
            decisionThread,
            timeouts.getStoreMs(),
            MAX_OBJECT_RESPONSE_BYTES);
    vmList = VmListClient.create(platformClient, URI.create(platform.getVmList()), decisionThread);
    ratings =
        Optional.of(platform.getRatingService())
            .filter(address -> !address.isEmpty())
            .map(
                address ->
                    RatingClient.create(platformClient, URI.create(address), decisionThread));
    endpointClient =
        HttpEndpointClient.create(
            endpointHttpClient,
            decisionThread,
            endpointTimeouts(timeouts),
            MAX_ENDPOINT_RESPONSE_BYTES);
    loadReports = LoadReportClient.create(endpointHttpClient, decisionThread);
  }

  /**
   * Returns the timeouts after which the HTTP adapter aborts a call.
   *
   * <p>The request engine enforces the configured response timeouts itself. It may wait for an
   * at-most-once response for longer than the caller does, so the adapter adds that allowance and
   * aborts only calls that the engine no longer tracks.
   */
  private static EndpointTimeouts endpointTimeouts(TimeoutSettings timeouts) {
    EngineOptions engineOptions =
        EngineOptions.of(timeouts.getFirstByteMs(), timeouts.getBetweenChunksMs());
    return new EndpointTimeouts(
        engineOptions.firstByteTimeoutMs() + engineOptions.lateResponseTimeoutMs(),
        engineOptions.idleTimeoutMs() + engineOptions.lateResponseTimeoutMs());
  }

  static PlatformPorts open(NodeSettings settings, Executor decisionThread) {
    return new PlatformPorts(settings, decisionThread);
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

  EndpointClient endpointClient() {
    return endpointClient;
  }

  LoadReportSource loadReports() {
    return loadReports;
  }

  void close() {
    HttpClients.stop(endpointHttpClient);
    HttpClients.stop(platformClient);
  }
}
