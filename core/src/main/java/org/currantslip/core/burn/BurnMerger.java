package org.currantslip.core.burn;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnRow;
import org.currantslip.schema.BurnWindow;

/** Merges the counts of several nodes; percentiles come from merged histograms. */
public final class BurnMerger {
  private static final double MEDIAN = 50;
  private static final double HIGH = 99;

  private BurnMerger() {}

  /** Returns the sum of several nodes' reports. */
  public static BurnReply merge(List<BurnReply> replies) {
    Map<String, BurnRow> rows = new TreeMap<>();
    replies.stream()
        .flatMap(r -> r.getRowList().stream())
        .forEach(r -> rows.merge(r.getAccount() + " " + r.getTask(), r, BurnMerger::add));
    return BurnReply.newBuilder().addAllRow(rows.values()).build();
  }

  /** Fills in what follows from the counts: burn rates, budget left and percentiles. */
  static BurnRow judged(BurnRow.Builder row) {
    double allowed = 1 - row.getTarget();
    boolean targeted = row.getTarget() > 0 && allowed > 0;
    for (BurnWindow.Builder window : row.getWindowBuilderList()) {
      window.setBurnRate(targeted ? failureShare(window) / allowed : 0);
    }
    if (targeted && row.getWindowCount() > 0) {
      BurnWindow.Builder longest = row.getWindowBuilder(row.getWindowCount() - 1);
      row.setBudgetLeft(1 - failureShare(longest) / allowed);
    }
    row.setQuality(row.getRated() == 0 ? 0 : (double) row.getRatedGood() / row.getRated());
    Histogram latencies = decode(row.getLatencyHistogram());
    return row.setP50Ms(latencies.getValueAtPercentile(MEDIAN))
        .setP99Ms(latencies.getValueAtPercentile(HIGH))
        .build();
  }

  private static double failureShare(BurnWindow.Builder window) {
    return window.getRequests() == 0 ? 0 : (double) window.getFailures() / window.getRequests();
  }

  private static BurnRow add(BurnRow a, BurnRow b) {
    BurnRow.Builder sum =
        a.toBuilder()
            .setTarget(Math.max(a.getTarget(), b.getTarget()))
            .setRequests(a.getRequests() + b.getRequests())
            .setBadVersionRequests(a.getBadVersionRequests() + b.getBadVersionRequests())
            .setCostMicros(a.getCostMicros() + b.getCostMicros())
            .setRated(a.getRated() + b.getRated())
            .setRatedGood(a.getRatedGood() + b.getRatedGood())
            .setLatencyHistogram(addHistograms(a.getLatencyHistogram(), b.getLatencyHistogram()))
            .clearWindow();
    for (int i = 0; i < Math.min(a.getWindowCount(), b.getWindowCount()); i++) {
      BurnWindow other = b.getWindow(i);
      sum.addWindow(
          a.getWindow(i).toBuilder()
              .setRequests(a.getWindow(i).getRequests() + other.getRequests())
              .setFailures(a.getWindow(i).getFailures() + other.getFailures()));
    }
    return judged(sum);
  }

  private static ByteString addHistograms(ByteString a, ByteString b) {
    Histogram sum = decode(a);
    sum.add(decode(b));
    return encode(sum);
  }

  static ByteString encode(Histogram histogram) {
    ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
    int length = histogram.encodeIntoCompressedByteBuffer(buffer);
    return ByteString.copyFrom(buffer.array(), 0, length);
  }

  private static Histogram decode(ByteString bytes) {
    if (bytes.isEmpty()) {
      return new Histogram(BurnSeries.HOUR_MS, 2);
    }
    try {
      return Histogram.decodeFromCompressedByteBuffer(
          ByteBuffer.wrap(bytes.toByteArray()), BurnSeries.HOUR_MS);
    } catch (DataFormatException e) {
      throw new IllegalArgumentException("not a histogram", e);
    }
  }
}
