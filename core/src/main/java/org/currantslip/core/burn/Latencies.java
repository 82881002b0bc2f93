package org.currantslip.core.burn;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/** Histograms of latencies and their encoding. */
final class Latencies {
  static final long MAX_MS = 3_600_000;
  static final int DIGITS = 2;

  private Latencies() {}

  static Histogram empty() {
    return new Histogram(MAX_MS, DIGITS);
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
      return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes.toByteArray()), MAX_MS);
    } catch (DataFormatException e) {
      throw new IllegalArgumentException("not a histogram", e);
    }
  }
}
