package org.currantslip.standin.contract;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;

/** Records the events of a call; {@link #outcome} completes with the name of the last one. */
final class RecordedEvents implements EndpointListener {
  final CompletableFuture<String> outcome = new CompletableFuture<>();
  final CompletableFuture<Void> firstData = new CompletableFuture<>();
  final List<String> data = new ArrayList<>();
  int status;
  String contentType = "";
  String correlation = "";
  EndpointUsage usage = EndpointUsage.none();
  int headCount;
  int endCount;

  @Override
  public void onHead(EndpointResponseHead head) {
    status = head.status();
    contentType = head.contentType();
    correlation = head.correlation();
    headCount++;
  }

  @Override
  public void onData(ByteString part) {
    data.add(part.toStringUtf8());
    firstData.complete(null);
  }

  @Override
  public void onEnd(EndpointUsage usage) {
    this.usage = usage;
    endCount++;
    outcome.complete("END");
  }

  @Override
  public void onFailure(CallFailure failure, String detail) {
    endCount++;
    outcome.complete(failure.name());
  }
}
