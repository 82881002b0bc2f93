package org.currantslip.core.burn;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/** Creates, encodes and decodes latency histograms. */
final class Latencies {
  static final long MAX_LATENCY_MS = 3_600_000;
  static final int SIGNIFICANT_DIGITS = 2;

  private Latencies() {}

  static Histogram empty() {
    return new Histogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
  }

  static ByteString encode(Histogram histogram) {
    ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
    int length = histogram.encodeIntoCompressedByteBuffer(buffer);
    return ByteString.copyFrom(buffer.array(), 0, length);
  }

  static Histogram decode(ByteString bytes) {
    if (bytes.isEmpty()) {
      return empty();
    }
    try {
      return Histogram.decodeFromCompressedByteBuffer(
          ByteBuffer.wrap(bytes.toByteArray()), MAX_LATENCY_MS);
    } catch (DataFormatException e) {
      throw new IllegalArgumentException("malformed latency histogram", e);
    }
  }
}
