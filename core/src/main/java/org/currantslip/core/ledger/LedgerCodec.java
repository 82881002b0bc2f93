package org.currantslip.core.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.LedgerPart;
import org.currantslip.schema.LedgerSegment;
import org.currantslip.schema.LedgerSnapshot;

/** Decodes the objects that the ledger keeps in the object store. */
final class LedgerCodec {
  private LedgerCodec() {}

  /** Returns the decoded snapshot, or an empty one if the slot was never compacted. */
  static LedgerSnapshot snapshot(Optional<StoredObject> object) {
    if (object.isEmpty()) {
      return LedgerSnapshot.getDefaultInstance();
    }
    try {
      return LedgerSnapshot.parseFrom(object.get().value());
    } catch (InvalidProtocolBufferException e) {
      throw malformed(object.get(), e);
    }
  }

  static long version(Optional<StoredObject> object) {
    return object.map(StoredObject::version).orElse(0L);
  }

  static LedgerSegment segment(StoredObject object) {
    try {
      return LedgerSegment.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw malformed(object, e);
    }
  }

  static LedgerPart part(StoredObject object) {
    try {
      return LedgerPart.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw malformed(object, e);
    }
  }

  private static IllegalStateException malformed(StoredObject object, Exception cause) {
    return new IllegalStateException("malformed ledger object " + object.name(), cause);
  }
}
