package org.currantslip.core.burn;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.FakeObjectStore.Call;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.core.request.RequestOutcome;
import org.currantslip.core.rules.RulesException;
import org.currantslip.core.rules.RulesParser;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnRow;
import org.currantslip.schema.BurnWindow;
import org.currantslip.schema.NodeId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class BurnReportTest {
  private static final long HOUR_MS = 3_600_000;
  private static final long START_MS = 480_000 * HOUR_MS;
  private static final String RULES =
      """
      level account=a task=t availability=99% latency_ms=100 # Ana: promise
      withdraw model=m version=bad # Ana: falsified
      """;

  private final FakeEvents events = FakeEvents.on(ManualClock.startingAt(START_MS));
  private final FakeObjectStore store = FakeObjectStore.on(events);
  private ConfigView view = ConfigView.none();

  @BeforeEach
  void parseRules() throws RulesException {
    view = new ConfigView(1, RulesParser.parse(RULES));
  }

  @ParameterizedTest
  @CsvSource({
    "OK, 100, 1, 0",
    "OK, 101, 1, 1",
    "OVERLOADED, 1, 1, 1",
    "ENDPOINT_SILENT, 1, 1, 1",
    "CONFIG_NOT_FRESH, 1, 1, 1",
    "RATE_LIMITED, 1, 0, 0",
    "BODY_MALFORMED, 1, 0, 0",
    "MODEL_NOT_ALLOWED, 1, 0, 0",
  })
  void countsOnlyOutcomesTheServiceIsResponsibleFor(
      ResultCode code, long firstByteMs, int requests, int failures) {
    BurnRecorder recorder = recorder();
    recorder.record(outcome(code, firstByteMs, "v"));
    List<BurnRow> rows = reportOf(recorder).getRowList();
    assertThat(rows).hasSize(requests);
    rows.forEach(r -> assertThat(r.getWindow(0).getFailures()).isEqualTo(failures));
  }

  @Test
  void mergedPercentilesMatchSingleRecorder() {
    Random random = new Random(7);
    BurnRecorder all = recorder();
    List<BurnRecorder> nodes = List.of(recorder(), recorder(), recorder());
    for (int i = 0; i < 3_000; i++) {
      // One node is much slower and has few requests, so averaging percentiles would be far off.
      int node = i % 50 == 0 ? 2 : i % 2;
      RequestOutcome outcome =
          outcome(ResultCode.OK, node == 2 ? 5_000 + random.nextInt(900) : random.nextInt(80), "v");
      all.record(outcome);
      nodes.get(node).record(outcome);
    }
    BurnReport merged = BurnReport.create(view, events.clock().nowMs());
    IntStream.range(0, 3).forEach(i -> merged.add(nodes.get(i).snapshot(id("n" + i, 1))));
    assertThat(merged.reply()).isEqualTo(reportOf(all));
    assertThat(merged.reply().getRow(0).getP99Ms()).isGreaterThan(5_000);
  }

  @Test
  void windowsExcludeOlderCounts() {
    BurnRecorder recorder = recorder();
    recorder.record(outcome(ResultCode.OVERLOADED, 1, "bad"));
    events.clock().advance(2 * HOUR_MS);
    recorder.record(outcome(ResultCode.OK, 1, "v"));
    BurnRow row = reportOf(recorder).getRow(0);
    assertThat(row.getWindowList().stream().map(BurnWindow::getFailures).toList())
        .containsExactly(0L, 0L, 1L, 1L)
        .inOrder();
    assertThat(row.getWindow(3).getBurnRate()).isWithin(1e-9).of(50);
    assertThat(row.getBudgetLeft()).isWithin(1e-9).of(-49);
    assertThat(row.getBadVersionRequests()).isEqualTo(1);
    assertThat(row.getCostMicros()).isEqualTo(10);
    events.clock().advance(72 * HOUR_MS);
    assertThat(reportOf(recorder).getRow(0).getWindow(3).getRequests()).isEqualTo(0);
  }

  @Test
  void numberOfSeriesIsBounded() {
    BurnRecorder recorder = recorder();
    for (int i = 0; i < 10_000; i++) {
      recorder.recordRating("a" + i, "t", true);
    }
    assertThat(reportOf(recorder).getRowCount()).isAtMost(257);
    assertThat(reportOf(recorder).getRowList().stream().mapToLong(BurnRow::getRated).sum())
        .isEqualTo(10_000);
  }

  @ParameterizedTest
  @EnumSource(names = {"NONE", "LOST_ANSWER", "LOST_CALL", "NOT_DONE"})
  void countsSurviveTheNodeAndAreCountedOnce(StoreFault fault) {
    BurnRecorder stoppedRecorder = recorder();
    BurnLog stoppedLog = BurnLog.create(id("n1", 1), store, events.clock(), stoppedRecorder);
    stoppedRecorder.record(outcome(ResultCode.OK, 1, "v"));
    store.inject(Call.CREATE, "burn/", fault);
    writeAndWait(stoppedLog);
    stoppedRecorder.record(outcome(ResultCode.OK, 1, "v"));
    writeAndWait(stoppedLog);
    BurnRecorder newRecorder = recorder();
    newRecorder.record(outcome(ResultCode.OK, 1, "v"));
    BurnLog newLog = BurnLog.create(id("n1", 2), store, events.clock(), newRecorder);
    writeAndWait(newLog);
    assertThat(reportOfAllNodes(newLog).getRow(0).getRequests()).isEqualTo(3);
    events.clock().advance(73 * HOUR_MS);
    assertThat(reportOfAllNodes(newLog).getRow(0).getRequests()).isEqualTo(0);
    events.advance(20);
    assertThat(store.listDirectly("burn/")).hasSize(1);
  }

  private void writeAndWait(BurnLog log) {
    var write = log.write();
    events.advance(50);
    assertThat(write.isDone()).isTrue();
  }

  private BurnReply reportOfAllNodes(BurnLog log) {
    var report = log.report(view);
    events.advance(50);
    return report.join();
  }

  private BurnReply reportOf(BurnRecorder recorder) {
    BurnReport report = BurnReport.create(view, events.clock().nowMs());
    report.add(recorder.snapshot(id("n", 1)));
    return report.reply();
  }

  private BurnRecorder recorder() {
    ConfigSource source =
        new ConfigSource() {
          @Override
          public ConfigView current() {
            return view;
          }

          @Override
          public boolean isFresh() {
            return true;
          }
        };
    return BurnRecorder.create(events.clock(), source);
  }

  private static NodeId id(String name, long incarnation) {
    return NodeId.newBuilder().setName(name).setIncarnation(incarnation).build();
  }

  private static RequestOutcome outcome(ResultCode code, long firstByteMs, String version) {
    return new RequestOutcome(
        "a", "t", "m", version, "", code, Ran.YES, code.httpStatus(), firstByteMs, 200, 5, 1);
  }
}
