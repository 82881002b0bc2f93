package org.currantslip.core.mirror;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.DrivenClock;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.StoreException;
import org.currantslip.schema.MirrorSnapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class KindMirrorTest {
  private static final MirrorOptions OPTIONS = new MirrorOptions(25_000, 50, 400, 100);

  private final DrivenClock clock = DrivenClock.startingAt(1_000_000);
  private final FakeFeed feed = new FakeFeed();
  private final KindMirror mirror = KindMirror.create("k", feed, clock, OPTIONS, 1);
  private final List<KindMirror.Link> links = new ArrayList<>();
  private int changes;

  @BeforeEach
  void listen() {
    mirror.onChange(() -> changes++);
    mirror.onLink(links::add);
  }

  private void start() {
    mirror.tick();
    feed.listed(10, FakeFeed.object("a", 3), FakeFeed.object("b", 4));
    mirror.tick();
  }

  private void after(long ms) {
    clock.advance(ms);
    mirror.tick();
  }

  @Test
  void listsOnceAndWatchesFromThere() {
    start();
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    assertThat(feed.watchedFrom).containsExactly(10L);
    feed.changed(12, FakeFeed.object("a", 12), false);
    mirror.tick();
    assertThat(feed.watches).hasSize(1);
    after(100);
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 12));
    feed.changed(13, FakeFeed.object("b", 4), true);
    assertThat(mirror.objects().keySet()).containsExactly("a");
    assertThat(changes).isEqualTo(3);
    assertThat(feed.lists).hasSize(1);
  }

  @Test
  void watchesFromTheFirstPageSoThatChangesBetweenPagesCount() {
    mirror.tick();
    feed.lists.get(0).complete(new KindPage(List.of(FakeFeed.object("a", 3)), true, 10));
    feed.lists.get(1).complete(new KindPage(List.of(FakeFeed.object("b", 11)), false, 15));
    mirror.tick();
    assertThat(feed.listedAfter).containsExactly("", "a").inOrder();
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    assertThat(feed.watchedFrom).containsExactly(10L);
  }

  @Test
  void changeThatIsOlderThanTheCopyChangesNothing() {
    start();
    feed.changed(12, FakeFeed.object("a", 2), false);
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 3));
    assertThat(changes).isEqualTo(1);
  }

  @Test
  void listsAtOnceWhenTheHistoryIsGone() {
    start();
    feed.failWatch(StoreException.Kind.HISTORY_GONE);
    mirror.tick();
    feed.listed(20, FakeFeed.object("b", 4));
    assertThat(mirror.objects().keySet()).containsExactly("b");
    assertThat(links).isEmpty();
    assertThat(mirror.lastOutageMs()).isEqualTo(0);
  }

  @Test
  void keepsItsCopyThroughAnOutageAndTellsHowLongItTook() {
    start();
    feed.failWatch(StoreException.Kind.NOT_DONE);
    for (int i = 0; i < 20; i++) {
      after(400);
      feed.failList(StoreException.Kind.NOT_DONE);
    }
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    assertThat(mirror.isLinked()).isFalse();
    after(400);
    feed.listed(30, FakeFeed.object("c", 30));
    assertThat(mirror.isLinked()).isTrue();
    assertThat(links).containsExactly(KindMirror.Link.LOST, KindMirror.Link.REGAINED).inOrder();
    assertThat(mirror.lastOutageMs()).isEqualTo(21 * 400);
  }

  @Test
  void givesUpOneWatchThatIsNeverAnswered() {
    start();
    clock.advance(27_001);
    mirror.tick();
    assertThat(mirror.isLinked()).isFalse();
    after(400);
    assertThat(feed.lists).hasSize(2);
    feed.watches.get(0).complete(null);
    assertThat(mirror.isLinked()).isFalse();
  }

  @Test
  void takesOneNewerCopyOfOnePeer() {
    start();
    KindMirror peer = KindMirror.create("k", new FakeFeed(), clock, OPTIONS, 2);
    MirrorSnapshot newer =
        MirrorSnapshot.newBuilder().setKind("k").setRevision(40).setChangedRevision(38).build();
    assertThat(mirror.offer(peer.snapshot())).isFalse();
    assertThat(mirror.offer(newer)).isTrue();
    assertThat(mirror.objects()).isEmpty();
    mirror.tick();
    feed.listed(41);
    mirror.tick();
    assertThat(feed.watchedFrom).containsExactly(10L, 41L).inOrder();
    feed.watches.get(0).complete(null);
    assertThat(mirror.revision()).isEqualTo(41);
  }

  @Test
  void watchThatLeftOneChangeOutIsMadeGoodByOneList() {
    start();
    feed.lastWatch().complete(new KindChanges(List.of(), 30, false));
    assertThat(mirror.revision()).isEqualTo(10);
    mirror.tick();
    feed.listed(31, FakeFeed.object("a", 25));
    assertThat(mirror.objects().keySet()).containsExactly("a");
    assertThat(mirror.revision()).isEqualTo(31);
  }

  @Test
  void watchThatWasCutIsFollowedByOneList() {
    start();
    feed.failWatch(StoreException.Kind.NOT_DONE);
    after(400);
    feed.listed(31, FakeFeed.object("a", 25));
    assertThat(mirror.objects().keySet()).containsExactly("a");
  }

  @Test
  void watchThatMayHangIsGivenUpForOneList() {
    start();
    mirror.recheck();
    mirror.tick();
    feed.listed(31, FakeFeed.object("a", 25));
    assertThat(mirror.objects().keySet()).containsExactly("a");
    feed.changed(12, FakeFeed.object("z", 12), false);
    assertThat(mirror.objects().keySet()).containsExactly("a");
  }

  @Test
  void listThatIsOlderThanOnePeersCopyDoesNotTakeItBack() {
    mirror.tick();
    MirrorSnapshot newer =
        MirrorSnapshot.newBuilder().setKind("k").setRevision(40).setChangedRevision(40).build();
    mirror.offer(newer);
    feed.listed(10, FakeFeed.object("a", 3));
    assertThat(mirror.revision()).isEqualTo(40);
    assertThat(mirror.objects()).isEmpty();
  }
}
