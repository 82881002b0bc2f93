package org.currantslip.adapter.vmlist;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.currantslip.adapter.http.JsonHttpClient;
import org.currantslip.adapter.http.PlatformException;
import org.currantslip.schema.VmList;
import org.eclipse.jetty.client.HttpClient;

/** Fetches the list of VMs over HTTP. */
public final class VmListClient implements VmListSource {
  private static final long TIMEOUT_MS = 2000;

  private final JsonHttpClient jsonHttpClient;
  private final String url;

  private VmListClient(JsonHttpClient jsonHttpClient, String url) {
    this.jsonHttpClient = jsonHttpClient;
    this.url = url;
  }

  /** Returns a client whose futures complete on {@code executor}. */
  public static VmListClient create(HttpClient client, URI baseAddress, Executor executor) {
    return new VmListClient(
        JsonHttpClient.create(client, executor, TIMEOUT_MS),
        baseAddress.resolve("/vms").toString());
  }

  @Override
  public CompletableFuture<VmList> fetch() {
    return jsonHttpClient.get(url, VmListClient::parse);
  }

  private static VmList parse(ByteString body) {
    VmList.Builder list = VmList.newBuilder();
    try {
      JsonFormat.parser().ignoringUnknownFields().merge(body.toStringUtf8(), list);
    } catch (InvalidProtocolBufferException e) {
      throw PlatformException.of("malformed VM list: " + e.getMessage());
    }
    return list.build();
  }
}
