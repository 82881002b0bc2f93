package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.currantslip.schema.EndpointRecord;

/** Records calls to endpoints; the test supplies the endpoint's events. */
final class FakeEndpointClient implements EndpointClient {
  /** A recorded call, with methods that simulate events of the endpoint. */
  record Call(EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    void head(int status) {
      listener.onHead(EndpointResponseHead.of(status, "application/json", request.correlation()));
    }

    void data(String text) {
      listener.onData(ByteString.copyFromUtf8(text));
    }

    void end(double confidence) {
      listener.onEnd(new EndpointUsage(10, 20, OptionalDouble.of(confidence)));
    }

    void respond(String text) {
      head(200);
      data(text);
      end(0.9);
    }
  }

  final List<Call> calls = new ArrayList<>();
  final List<Call> cancelled = new ArrayList<>();

  @Override
  public EndpointCall start(
      EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    Call call = new Call(endpoint, request, listener);
    calls.add(call);
    return () -> cancelled.add(call);
  }

  Call last() {
    return calls.get(calls.size() - 1);
  }
}
