package org.currantslip.core.mirror;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.stream.Stream;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorObject;

/** Converts objects and their changes to and from the messages sent between nodes. */
final class MirrorCodec {
  private MirrorCodec() {}

  static MirrorObject objectToProto(KindObject o) {
    return MirrorObject.newBuilder()
        .setName(o.name())
        .setVersion(o.version())
        .setSpec(o.spec())
        .setStatus(o.status())
        .build();
  }

  static KindObject objectFromProto(MirrorObject o) {
    return new KindObject(o.getName(), o.getVersion(), o.getSpec(), o.getStatus());
  }

  static MirrorChanges changesToProto(KindChanges changes) {
    MirrorChanges.Builder builder =
        MirrorChanges.newBuilder()
            .setEra(changes.position().era())
            .setRevision(changes.position().revision());
    changes
        .changes()
        .forEach(
            c -> {
              if (c.removed()) {
                builder.addRemoved(c.object().name());
              } else {
                builder.addObject(objectToProto(c.object()));
              }
            });
    return builder.build();
  }

  static StorePosition positionOf(MirrorChanges changes) {
    return new StorePosition(changes.getEra(), changes.getRevision());
  }

  static KindChanges changesFromProto(MirrorChanges changes) {
    Stream<KindChanges.Change> removed =
        changes.getRemovedList().stream()
            .map(n -> new KindObject(n, changes.getRevision(), ByteString.EMPTY, ByteString.EMPTY))
            .map(o -> new KindChanges.Change(o, true));
    Stream<KindChanges.Change> present =
        changes.getObjectList().stream()
            .map(o -> new KindChanges.Change(objectFromProto(o), false));
    List<KindChanges.Change> allChanges = Stream.concat(removed, present).toList();
    return new KindChanges(allChanges, positionOf(changes), true);
  }
}
