package org.currantslip.core.mirror;

import com.google.common.hash.Hashing;
import com.google.common.io.ByteStreams;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.InputStream;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.currantslip.schema.CopyReference;
import org.currantslip.schema.MirrorObjects;

/**
 * Mirrored objects in compressed form, named by a hash of these bytes.
 *
 * @param digest hash of the packed bytes
 * @param packed serialized {@link MirrorObjects} in the zlib format
 * @param unpackedBytes length of the serialized objects
 */
record PackedCopy(ByteString digest, ByteString packed, int unpackedBytes) {
  /** Limits the memory that a reference from a peer can claim. */
  private static final int MAX_UNPACKED_BYTES = 8 << 20;

  private static final int MAX_PACKED_BYTES = 2 << 20;

  static PackedCopy pack(MirrorObjects objects) {
    ByteString.Output packed = ByteString.newOutput();
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DeflaterOutputStream out = new DeflaterOutputStream(packed, deflater)) {
      objects.writeTo(out);
    } catch (IOException e) {
      throw new IllegalStateException("a buffer in memory refused bytes", e);
    } finally {
      deflater.end();
    }
    return of(packed.toByteString(), objects.getSerializedSize());
  }

  static PackedCopy of(ByteString packed, int unpackedBytes) {
    byte[] hash = Hashing.murmur3_128().hashBytes(packed.asReadOnlyByteBuffer()).asBytes();
    return new PackedCopy(ByteString.copyFrom(hash), packed, unpackedBytes);
  }

  /** Returns whether a copy with this reference is small enough to be sent and fetched. */
  static boolean isAcceptable(CopyReference reference) {
    return reference.getUnpackedBytes() >= 0
        && reference.getUnpackedBytes() <= MAX_UNPACKED_BYTES
        && reference.getPackedBytes() > 0
        && reference.getPackedBytes() <= MAX_PACKED_BYTES;
  }

  CopyReference reference() {
    return CopyReference.newBuilder()
        .setDigest(digest)
        .setPackedBytes(packed.size())
        .setUnpackedBytes(unpackedBytes)
        .build();
  }

  /**
   * Returns the objects.
   *
   * @throws InvalidProtocolBufferException if the bytes are not a copy of the stated length
   */
  MirrorObjects unpack() throws InvalidProtocolBufferException {
    try (InputStream in = new InflaterInputStream(packed.newInput())) {
      byte[] unpacked = new byte[unpackedBytes];
      ByteStreams.readFully(in, unpacked);
      return MirrorObjects.parseFrom(unpacked);
    } catch (InvalidProtocolBufferException e) {
      throw e;
    } catch (IOException e) {
      throw new InvalidProtocolBufferException(e);
    }
  }
}
