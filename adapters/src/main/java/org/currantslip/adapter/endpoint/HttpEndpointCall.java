package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointHead;
import org.currantslip.core.request.EndpointUsage;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.CyclicTimeout;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/** One call to an endpoint: checks that the answer is whole and reports what was seen. */
final class HttpEndpointCall implements EndpointCall, Response.Listener {
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final ByteString DONE = ByteString.copyFromUtf8("[DONE]");

  private final Request request;
  private final AnswerForm form;
  private final SerialEvents events;
  private final EndpointTimeouts timeouts;
  private final long maxAnswerBytes;
  private final SseParser parser = SseParser.create(this::onEvent);

  private @Nullable CyclicTimeout silence;
  private Runnable whenOver = () -> {};
  private volatile boolean sent;
  private volatile boolean timedOut;
  private boolean headSeen;
  private boolean streaming;
  private boolean ended;
  private long received;
  private ByteString body = ByteString.EMPTY;
  private EndpointUsage usage = EndpointUsage.none();

  private HttpEndpointCall(
      Request request,
      AnswerForm form,
      SerialEvents events,
      EndpointTimeouts timeouts,
      long maxAnswerBytes) {
    this.request = request;
    this.form = form;
    this.events = events;
    this.timeouts = timeouts;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  static HttpEndpointCall create(
      Request request,
      AnswerForm form,
      SerialEvents events,
      EndpointTimeouts timeouts,
      long maxAnswerBytes) {
    return new HttpEndpointCall(request, form, events, timeouts, maxAnswerBytes);
  }

  /** Sets what to do once the connection is no longer needed. */
  void whenOver(Runnable action) {
    whenOver = action;
  }

  void send(Scheduler scheduler) {
    silence =
        new CyclicTimeout(scheduler) {
          @Override
          public void onTimeoutExpired() {
            timedOut = true;
            CompletableFuture<Boolean> unused =
                request.abort(new TimeoutException("endpoint is silent"));
          }
        };
    expectWithin(timeouts.firstByteMs());
    request.onRequestBegin(r -> sent = true).send(this);
  }

  @Override
  public void cancel() {
    events.close();
    CompletableFuture<Boolean> unused = request.abort(new CancellationException("cancelled"));
  }

  @Override
  public void onHeaders(Response response) {
    headSeen = true;
    expectWithin(timeouts.betweenChunksMs());
    String type = header(response, HttpHeader.CONTENT_TYPE.asString());
    streaming =
        form == AnswerForm.MODEL_STREAM
            && response.getStatus() == OK
            && type.startsWith(AnswerForm.EVENT_STREAM);
    events.head(
        EndpointHead.of(response.getStatus(), type, header(response, EndpointHeaders.CORRELATION)));
  }

  @Override
  public void onContent(Response response, ByteBuffer content) {
    expectWithin(timeouts.betweenChunksMs());
    received += content.remaining();
    if (ended) {
      content.position(content.limit());
    } else if (received > maxAnswerBytes) {
      fail(CallFailure.MALFORMED, "answer exceeds " + maxAnswerBytes + " bytes");
      CompletableFuture<Boolean> unused =
          response.abort(new IllegalStateException("answer too large"));
    } else if (streaming) {
      parser.feed(content);
    } else {
      body = body.concat(ByteString.copyFrom(content));
    }
  }

  private void onEvent(ByteString payload) {
    if (ended) {
      return;
    }
    if (payload.equals(DONE)) {
      ended = true;
      events.end(usage);
      return;
    }
    UsageReader.read(payload).ifPresent(u -> usage = u);
    events.data(payload);
  }

  @Override
  public void onComplete(Result result) {
    if (silence != null) {
      silence.cancel();
      silence.destroy();
    }
    if (!ended) {
      Throwable failure = result.getFailure();
      if (failure == null) {
        complete(result.getResponse());
      } else {
        fail(kind(), failure.toString());
      }
    }
    whenOver.run();
  }

  private CallFailure kind() {
    if (!sent) {
      return CallFailure.NOT_SENT;
    }
    return headSeen && !timedOut ? CallFailure.TRUNCATED : CallFailure.BROKEN;
  }

  private void complete(Response response) {
    if (streaming) {
      fail(CallFailure.TRUNCATED, "stream ended without its closing mark");
      return;
    }
    if (!delimited(response)) {
      fail(CallFailure.TRUNCATED, "answer has neither a length nor chunks");
      return;
    }
    if (form != AnswerForm.OPAQUE && response.getStatus() == OK) {
      completeModel();
      return;
    }
    finish(EndpointUsage.none());
  }

  private void completeModel() {
    if (form == AnswerForm.MODEL_STREAM) {
      fail(CallFailure.MALFORMED, "a stream was asked for and none came");
      return;
    }
    UsageReader.read(body)
        .ifPresentOrElse(
            this::finish, () -> fail(CallFailure.MALFORMED, "answer without token counts"));
  }

  private void finish(EndpointUsage answerUsage) {
    ended = true;
    events.data(body);
    events.end(answerUsage);
  }

  private void fail(CallFailure failure, String detail) {
    ended = true;
    events.failure(failure, detail);
  }

  /** Returns whether the end of the body was marked, so that a cut would have been noticed. */
  private static boolean delimited(Response response) {
    return response.getStatus() == NO_CONTENT
        || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
        || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void expectWithin(long limitMs) {
    if (silence != null) {
      silence.schedule(limitMs, TimeUnit.MILLISECONDS);
    }
  }

  private static String header(Response response, String name) {
    HttpField field = response.getHeaders().getField(name);
    return field == null || field.getValue() == null ? "" : field.getValue();
  }
}
