package org.currantslip.standin.vmlist;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.VmList;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;
import org.currantslip.standin.http.StandinApp;

/** Fake VM list; each change becomes visible after a lag. */
public final class VmListApp implements StandinApp {
  private static final String LIST_PATH = "/vms";
  private static final String LEAVING_PATH = "/vms/leaving";
  private static final int OK = 200;

  /** A list and the time at which it becomes visible. */
  private record ScheduledList(VmList list, long visibleFromMs) {}

  private final Clock clock;
  private final long lagMs;
  private final Deque<ScheduledList> lists = new ArrayDeque<>();

  private VmListApp(Clock clock, long lagMs, VmList initial) {
    this.clock = clock;
    this.lagMs = lagMs;
    lists.add(new ScheduledList(initial, clock.nowMs()));
  }

  /** Returns a VM list that shows {@code initial} at once and changes after {@code lagMs}. */
  public static VmListApp create(Clock clock, long lagMs, VmList initial) {
    return new VmListApp(clock, lagMs, initial);
  }

  @Override
  public void handle(Exchange exchange) {
    boolean isGet = exchange.method().equals("GET");
    if (exchange.path().equals(LIST_PATH) && isGet) {
      exchange.reply(OK, "application/json", Map.of(), print(visibleList()));
    } else if (exchange.path().equals(LIST_PATH) && exchange.method().equals("PUT")) {
      publish(parse(exchange.body()));
      exchange.reply(OK, Json.object());
    } else if (exchange.path().equals(LEAVING_PATH) && exchange.method().equals("POST")) {
      markLeaving(exchange.json().path("id").asText());
      exchange.reply(OK, Json.object());
    } else {
      throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, exchange.path());
    }
  }

  @Override
  public boolean isControl(String method, String path) {
    return !method.equals("GET");
  }

  private synchronized VmList visibleList() {
    long now = clock.nowMs();
    while (lists.size() > 1 && isNextVisible(now)) {
      lists.removeFirst();
    }
    return lists.getFirst().list();
  }

  private boolean isNextVisible(long now) {
    return lists.stream().skip(1).findFirst().orElseThrow().visibleFromMs() <= now;
  }

  private synchronized void publish(VmList next) {
    long version = lists.getLast().list().getVersion() + 1;
    lists.addLast(
        new ScheduledList(next.toBuilder().setVersion(version).build(), clock.nowMs() + lagMs));
  }

  private synchronized void markLeaving(String id) {
    VmList.Builder next = lists.getLast().list().toBuilder();
    boolean found = false;
    for (EndpointRecord.Builder endpoint : next.getEndpointBuilderList()) {
      if (endpoint.getId().equals(id)) {
        endpoint.setLeaving(true);
        found = true;
      }
    }
    if (!found) {
      throw RefusalException.notRun(ResultCode.NOT_FOUND, "no endpoint " + id);
    }
    publish(next.build());
  }

  private static byte[] print(VmList list) {
    try {
      return JsonFormat.printer().print(list).getBytes(StandardCharsets.UTF_8);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private static VmList parse(byte[] body) {
    VmList.Builder list = VmList.newBuilder();
    try {
      JsonFormat.parser().merge(new String(body, StandardCharsets.UTF_8), list);
    } catch (InvalidProtocolBufferException e) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "malformed VM list");
    }
    return list.build();
  }
}
