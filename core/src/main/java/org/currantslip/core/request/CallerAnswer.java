package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.TreeSet;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.jspecify.annotations.Nullable;

/** The answer of one request: the fields gathered so far, and what the caller already has. */
final class CallerAnswer {
  private static final String JSON = "application/json";
  private static final String EVENT_STREAM = "text/event-stream";

  private final RouterRequest request;
  private final CallerSink sink;
  private final TreeSet<Integer> ruleLines = new TreeSet<>();
  private String model = "";
  private String version = "";
  private long configVersion;
  private String sessionToken = "";
  private boolean sessionMoved;
  private boolean opened;
  private boolean closed;
  private int sentStatus;
  private @Nullable EndpointHead endpoint;

  private CallerAnswer(RouterRequest request, CallerSink sink) {
    this.request = request;
    this.sink = sink;
  }

  static CallerAnswer create(RouterRequest request, CallerSink sink) {
    return new CallerAnswer(request, sink);
  }

  void useConfig(long version) {
    configVersion = version;
  }

  void addRuleLines(List<Integer> lines) {
    ruleLines.addAll(lines);
  }

  void useVersion(String model, String version, boolean moved, String token) {
    this.model = model;
    this.version = version;
    sessionMoved |= moved;
    sessionToken = token;
  }

  String model() {
    return model;
  }

  String version() {
    return version;
  }

  long configVersion() {
    return configVersion;
  }

  List<Integer> ruleLines() {
    return List.copyOf(ruleLines);
  }

  boolean isOpened() {
    return opened;
  }

  boolean isClosed() {
    return closed;
  }

  int sentStatus() {
    return sentStatus;
  }

  /** Stops sending; the caller is gone. */
  void abandon() {
    closed = true;
  }

  /** Passes on the head of an endpoint's answer in place of one of this node's own. */
  void passOn(EndpointHead head) {
    endpoint = head;
  }

  /** Sends one event of a stream, starting the stream if needed. */
  void stream(ByteString data) {
    if (closed) {
      return;
    }
    if (!opened) {
      int status = endpoint == null ? HttpStatus.OK : endpoint.status();
      open(head(ResultCode.OK, Ran.YES, status, EVENT_STREAM, true, 0, false, ""));
    }
    sink.data(data);
  }

  /** Ends a stream that is complete. */
  void endStream() {
    if (closed) {
      return;
    }
    closed = true;
    sink.finish(head(ResultCode.OK, Ran.YES, HttpStatus.OK, EVENT_STREAM, true, 0, false, ""));
  }

  /** Sends a whole answer and ends. */
  void whole(int status, String contentType, ByteString body, Ran ran, boolean replayed) {
    if (closed) {
      return;
    }
    AnswerHead head = head(ResultCode.OK, ran, status, contentType, false, 0, replayed, "");
    open(head);
    sink.data(body);
    closed = true;
    sink.finish(head);
  }

  /** Ends with a refusal, or ends a stream under way with the same fields. */
  void refuse(RefusalException e) {
    if (closed) {
      return;
    }
    boolean midStream = opened;
    if (!midStream) {
      endpoint = null;
    }
    AnswerHead head =
        head(
            e.code(),
            e.ran(),
            e.code().httpStatus(),
            midStream ? EVENT_STREAM : JSON,
            midStream,
            e.retryAfterMs(),
            false,
            e.detail());
    if (!midStream) {
      open(head);
    }
    closed = true;
    sink.finish(head);
  }

  private void open(AnswerHead head) {
    opened = true;
    sentStatus = head.httpStatus();
    sink.head(head);
  }

  private AnswerHead head(
      ResultCode code,
      Ran ran,
      int status,
      String contentType,
      boolean stream,
      long retryAfterMs,
      boolean replayed,
      String detail) {
    return new AnswerHead(
        request.requestId(),
        code,
        ran,
        status,
        contentType,
        stream,
        model,
        version,
        configVersion,
        ruleLines(),
        retryAfterMs,
        sessionToken,
        sessionMoved,
        replayed,
        detail,
        endpoint);
  }
}
