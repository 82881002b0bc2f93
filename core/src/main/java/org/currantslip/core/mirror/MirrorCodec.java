package org.currantslip.core.mirror;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.stream.Stream;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorObject;

/** Objects and their changes in frames between nodes. */
final class MirrorCodec {
  private MirrorCodec() {}

  static MirrorObject object(KindObject o) {
    return MirrorObject.newBuilder()
        .setName(o.name())
        .setVersion(o.version())
        .setSpec(o.spec())
        .setStatus(o.status())
        .build();
  }

  static KindObject object(MirrorObject o) {
    return new KindObject(o.getName(), o.getVersion(), o.getSpec(), o.getStatus());
  }

  static MirrorChanges changes(KindChanges changes) {
    MirrorChanges.Builder out = MirrorChanges.newBuilder().setRevision(changes.revision());
    changes
        .changes()
        .forEach(
            c -> {
              if (c.removed()) {
                out.addRemoved(c.object().name());
              } else {
                out.addObject(object(c.object()));
              }
            });
    return out.build();
  }

  static KindChanges changes(MirrorChanges changes) {
    Stream<KindChanges.Change> removed =
        changes.getRemovedList().stream()
            .map(n -> new KindObject(n, changes.getRevision(), ByteString.EMPTY, ByteString.EMPTY))
            .map(o -> new KindChanges.Change(o, true));
    Stream<KindChanges.Change> present =
        changes.getObjectList().stream().map(o -> new KindChanges.Change(object(o), false));
    List<KindChanges.Change> all = Stream.concat(removed, present).toList();
    return new KindChanges(all, changes.getRevision(), true);
  }
}
