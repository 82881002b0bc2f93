package org.currantslip.core.relay;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.BodyFraming;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.ForwardedRequest;
import org.currantslip.core.request.HeaderField;
import org.currantslip.core.request.RequestRelay;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.RelayEnd;
import org.currantslip.schema.RelayField;
import org.currantslip.schema.RelayHead;
import org.currantslip.schema.RelayPromptPart;
import org.currantslip.schema.RelayRequest;

/** Translates between requests and responses and the messages of a relay. */
final class RelayCodec {
  private RelayCodec() {}

  static RelayRequest.Builder request(
      RouterRequest request, ForwardedRequest forwarded, RequestRelay.Terms terms, long nowMs) {
    return RelayRequest.newBuilder()
        .setRequestId(request.requestId())
        .setMethod(request.method())
        .setPath(request.path())
        .setHost(forwarded.host())
        .setContentType(request.contentType())
        .setApiKey(forwarded.apiKey())
        .addAllField(fields(forwarded.fields()))
        .addAllPrompt(
            forwarded.prompt().stream()
                .map(p -> RelayPromptPart.newBuilder().setId(p.id()).setTokens(p.tokens()).build())
                .toList())
        .setLastEventId(terms.lastEventId())
        .setBody(request.body())
        .setTimeLeftMs(Math.max(0, terms.deadlineMs() - nowMs))
        .setAgeMs(Math.max(0, nowMs - forwarded.arrivedMs()))
        .setSession(request.session())
        .setPromptTokens(request.promptTokens())
        .setMaxTokens(request.maxTokens())
        .setModel(request.model())
        .setEarlierRuns(terms.earlierRuns());
  }

  static RouterRequest request(RelayRequest message, String fromNode, long nowMs) {
    return new RouterRequest(
        message.getRequestId(),
        "",
        "",
        message.getModel(),
        "",
        message.getMethod(),
        message.getPath(),
        message.getContentType(),
        message.getBody(),
        false,
        null,
        true,
        message.getSession(),
        "",
        nowMs + message.getTimeLeftMs(),
        0,
        message.getPromptTokens(),
        message.getMaxTokens(),
        0,
        new ForwardedRequest(
            message.getHost(),
            message.getApiKey(),
            headerFields(message.getFieldList()),
            message.getPromptList().stream()
                .map(p -> new PromptPart(p.getId(), p.getTokens()))
                .toList(),
            message.getLastEventId(),
            nowMs - message.getAgeMs(),
            fromNode,
            message.getEarlierRuns()));
  }

  static RelayHead.Builder head(ResponseHead head) {
    RelayHead.Builder message =
        RelayHead.newBuilder()
            .setStatus(head.httpStatus())
            .setContentType(head.contentType())
            .setStream(head.stream())
            .setCode(head.code().number())
            .setRan(head.ran().text())
            .setRetryAfterMs(head.retryAfterMs())
            .setDetail(head.detail())
            .setModel(head.model())
            .setVersion(head.version())
            .setConfigVersion(head.configVersion());
    EndpointResponseHead endpoint = head.endpointHead();
    if (endpoint != null) {
      message
          .setFromEndpoint(true)
          .setContentType(endpoint.contentType())
          .addAllField(fields(endpoint.fields()));
    }
    return message;
  }

  static RequestRelay.Head head(RelayHead message) {
    EndpointResponseHead endpoint =
        new EndpointResponseHead(
            message.getStatus(),
            message.getContentType(),
            "",
            false,
            true,
            OptionalDouble.empty(),
            BodyFraming.LENGTH,
            EndpointNotice.none(),
            null,
            headerFields(message.getFieldList()));
    return new RequestRelay.Head(
        endpoint, message.getStream(), message.getModel(), message.getVersion());
  }

  static RelayEnd.Builder end(ResponseHead end) {
    return RelayEnd.newBuilder()
        .setCode(end.code().number())
        .setRan(end.ran().text())
        .setRetryAfterMs(end.retryAfterMs())
        .setDetail(end.detail());
  }

  static RelayEnd.Builder refusal(ResultCode code, long retryAfterMs, String detail) {
    return RelayEnd.newBuilder()
        .setCode(code.number())
        .setRan(Ran.NO.text())
        .setRetryAfterMs(retryAfterMs)
        .setDetail(detail);
  }

  /** Returns the refusal or failure that ends a relay; what is unreadable may have run. */
  static RefusalException refusal(RelayEnd end) {
    Ran ran =
        Arrays.stream(Ran.values())
            .filter(r -> r.text().equals(end.getRan()))
            .findFirst()
            .orElse(Ran.UNKNOWN);
    ResultCode code = ResultCode.ofNumber(end.getCode()).orElse(ResultCode.OUTCOME_UNKNOWN);
    return RefusalException.of(code, ran, end.getRetryAfterMs(), end.getDetail());
  }

  private static List<RelayField> fields(List<HeaderField> fields) {
    return fields.stream()
        .map(f -> RelayField.newBuilder().setName(f.name()).setValue(f.value()).build())
        .toList();
  }

  private static List<HeaderField> headerFields(List<RelayField> fields) {
    return fields.stream().map(f -> new HeaderField(f.getName(), f.getValue())).toList();
  }
}
