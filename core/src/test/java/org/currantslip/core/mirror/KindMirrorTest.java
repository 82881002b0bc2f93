package org.currantslip.core.mirror;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorSnapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class KindMirrorTest {
  private static final MirrorOptions OPTIONS = new MirrorOptions(25_000, 50, 400, 100);

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final FakeFeed feed = new FakeFeed();
  private final KindMirror mirror = KindMirror.create("k", feed, clock, OPTIONS, 1);
  private final List<KindMirror.Link> linkEvents = new ArrayList<>();
  private int changeCount;

  @BeforeEach
  void registerListeners() {
    mirror.setChangeListener(() -> changeCount++);
    mirror.setLinkListener(linkEvents::add);
  }

  private void start() {
    mirror.tick();
    feed.completeList(10, FakeFeed.object("a", 3), FakeFeed.object("b", 4));
    advance(OPTIONS.settleMs());
  }

  private void advance(long ms) {
    clock.advance(ms);
    mirror.tick();
  }

  @Test
  void listsOnceThenWatchesFromTheListRevision() {
    start();
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    assertThat(feed.watchRevisions).containsExactly(10L);
    feed.completeWatch(12, FakeFeed.object("a", 12), false);
    mirror.tick();
    assertThat(feed.watchCalls).hasSize(1);
    advance(100);
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 12));
    feed.completeWatch(13, FakeFeed.object("b", 4), true);
    assertThat(mirror.objects().keySet()).containsExactly("a");
    assertThat(changeCount).isEqualTo(3);
    assertThat(feed.listCalls).hasSize(1);
  }

  @Test
  void watchesFromTheFirstPageToSeeChangesBetweenPages() {
    mirror.tick();
    feed.listCalls
        .get(0)
        .complete(new KindPage(List.of(FakeFeed.object("a", 3)), true, StorePosition.of(10)));
    feed.listCalls
        .get(1)
        .complete(new KindPage(List.of(FakeFeed.object("b", 11)), false, StorePosition.of(15)));
    advance(OPTIONS.settleMs());
    assertThat(feed.listStarts).containsExactly("", "a").inOrder();
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    assertThat(feed.watchRevisions).containsExactly(10L);
  }

  @Test
  void ignoresChangesOlderThanTheCopy() {
    start();
    feed.completeWatch(12, FakeFeed.object("a", 2), false);
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 3));
    assertThat(changeCount).isEqualTo(1);
  }

  @Test
  void listsAtOnceWhenHistoryIsGone() {
    start();
    feed.failWatch(StoreException.Kind.HISTORY_GONE);
    mirror.tick();
    feed.completeList(20, FakeFeed.object("b", 4));
    assertThat(mirror.objects().keySet()).containsExactly("b");
    assertThat(linkEvents).isEmpty();
    assertThat(mirror.lastOutageMs()).isEqualTo(0);
  }

  @Test
  void keepsItsCopyThroughAnOutageAndReportsItsDuration() {
    start();
    feed.failWatch(StoreException.Kind.NOT_DONE);
    for (int i = 0; i < 20; i++) {
      advance(400);
      feed.failList(StoreException.Kind.NOT_DONE);
    }
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    assertThat(mirror.isConnected()).isFalse();
    advance(400);
    feed.completeList(30, FakeFeed.object("c", 30));
    assertThat(mirror.isConnected()).isTrue();
    assertThat(linkEvents)
        .containsExactly(KindMirror.Link.LOST, KindMirror.Link.REGAINED)
        .inOrder();
    assertThat(mirror.lastOutageMs()).isEqualTo(21 * 400);
  }

  @Test
  void abandonsWatchThatIsNeverAnswered() {
    start();
    clock.advance(27_001);
    mirror.tick();
    assertThat(mirror.isConnected()).isFalse();
    advance(400);
    assertThat(feed.listCalls).hasSize(2);
    feed.watchCalls.get(0).complete(null);
    assertThat(mirror.isConnected()).isFalse();
  }

  @Test
  void acceptsOnlyNewerCopyFromPeer() {
    start();
    KindMirror peer = KindMirror.create("k", new FakeFeed(), clock, OPTIONS, 2);
    MirrorSnapshot newer =
        MirrorSnapshot.newBuilder().setKind("k").setRevision(40).setChangedRevision(38).build();
    assertThat(mirror.replaceIfNewer(peer.snapshot())).isFalse();
    assertThat(mirror.replaceIfNewer(newer)).isTrue();
    assertThat(mirror.objects()).isEmpty();
    mirror.tick();
    feed.completeList(41);
    mirror.tick();
    assertThat(feed.watchRevisions).containsExactly(10L, 41L).inOrder();
    feed.watchCalls.get(0).complete(null);
    assertThat(mirror.position().revision()).isEqualTo(41);
  }

  @Test
  void listRecoversChangeOmittedByWatch() {
    start();
    feed.lastWatch().complete(new KindChanges(List.of(), StorePosition.of(30), false));
    assertThat(mirror.position().revision()).isEqualTo(10);
    mirror.tick();
    feed.completeList(31, FakeFeed.object("a", 25));
    assertThat(mirror.objects().keySet()).containsExactly("a");
    assertThat(mirror.position().revision()).isEqualTo(31);
  }

  /** Each watch without a change used to be followed by a list at ten times the price. */
  @Test
  void staleListProvesThatWatchOmittedNothing() {
    start();
    feed.lastWatch().complete(new KindChanges(List.of(), StorePosition.of(30), false));
    mirror.tick();
    assertThat(feed.staleLists).isEqualTo(1);
    feed.completeList(30, FakeFeed.object("a", 3), FakeFeed.object("b", 4));
    mirror.tick();
    assertThat(feed.listCalls).hasSize(2);
    assertThat(feed.watchCalls).hasSize(2);
  }

  /** A list that is older than the end of a watch says nothing of the changes that it omitted. */
  @Test
  void staleListThatIsOlderThanTheWatchIsRepeatedAtTheNewestState() {
    start();
    feed.lastWatch().complete(new KindChanges(List.of(), StorePosition.of(30), false));
    mirror.tick();
    feed.completeList(29, FakeFeed.object("a", 3), FakeFeed.object("b", 4));
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 3));
    mirror.tick();
    assertThat(feed.staleLists).isEqualTo(1);
    feed.completeList(31, FakeFeed.object("a", 25));
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 25));
  }

  @Test
  void listsAfterFailedWatch() {
    start();
    feed.failWatch(StoreException.Kind.NOT_DONE);
    advance(400);
    feed.completeList(31, FakeFeed.object("a", 25));
    assertThat(mirror.objects().keySet()).containsExactly("a");
  }

  @Test
  void recheckAbandonsWatchAndLists() {
    start();
    mirror.restart();
    mirror.tick();
    feed.completeList(31, FakeFeed.object("a", 25));
    assertThat(mirror.objects().keySet()).containsExactly("a");
    feed.completeWatch(12, FakeFeed.object("z", 12), false);
    assertThat(mirror.objects().keySet()).containsExactly("a");
  }

  @Test
  void riseOfTheEraReplacesTheCopyAlthoughRevisionsWentBack() {
    start();
    feed.failWatch(StoreException.Kind.HISTORY_GONE);
    mirror.tick();
    feed.era = 1;
    feed.completeList(7, FakeFeed.object("a", 2));
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 2));
    assertThat(mirror.position()).isEqualTo(new StorePosition(1, 7));
    assertThat(linkEvents).containsExactly(KindMirror.Link.RESTORED);
    mirror.tick();
    feed.completeWatch(9, FakeFeed.object("a", 3), false);
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 3));
  }

  @Test
  void watchAnsweredInNewEraIsNotAppliedButListed() {
    start();
    feed.era = 1;
    feed.completeWatch(12, FakeFeed.object("z", 12), false);
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    mirror.tick();
    feed.completeList(12, FakeFeed.object("z", 12));
    assertThat(mirror.objects().keySet()).containsExactly("z");
  }

  @Test
  void lateAnswersOfAnOlderEraAreDropped() {
    feed.era = 2;
    start();
    feed.era = 1;
    feed.completeWatch(90, FakeFeed.object("z", 90), false);
    advance(400);
    feed.completeList(95, FakeFeed.object("z", 90));
    assertThat(mirror.objects().keySet()).containsExactly("a", "b");
    assertThat(mirror.position()).isEqualTo(new StorePosition(2, 10));
  }

  @Test
  void listAcrossTwoErasStartsAgain() {
    mirror.tick();
    feed.listCalls
        .get(0)
        .complete(new KindPage(List.of(FakeFeed.object("a", 3)), true, StorePosition.of(10)));
    feed.era = 1;
    feed.completeList(4, FakeFeed.object("b", 2));
    assertThat(mirror.objects()).isEmpty();
    mirror.tick();
    feed.completeList(4, FakeFeed.object("b", 2));
    assertThat(mirror.objects().keySet()).containsExactly("b");
  }

  @Test
  void peersOfDifferentErasAgreeOnTheNewest() {
    start();
    MirrorSnapshot newer =
        MirrorSnapshot.newBuilder()
            .setKind("k")
            .setEra(1)
            .setRevision(2)
            .setChangedRevision(2)
            .build();
    MirrorSnapshot older =
        MirrorSnapshot.newBuilder().setKind("k").setRevision(99).setChangedRevision(99).build();
    assertThat(mirror.replaceIfNewer(newer)).isTrue();
    assertThat(mirror.replaceIfNewer(older)).isFalse();
    assertThat(mirror.position()).isEqualTo(new StorePosition(1, 2));
  }

  @Test
  void contentVersionsNeverGoBackWithTheEra() {
    mirror.setContentVersion(o -> o.name().equals("a") ? o.version() : 0);
    start();
    feed.failWatch(StoreException.Kind.HISTORY_GONE);
    mirror.tick();
    feed.era = 1;
    feed.completeList(7, FakeFeed.object("a", 2));
    assertThat(mirror.objects().keySet()).containsExactly("a");
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 3));
    assertThat(mirror.contentVersion()).isEqualTo(3);
  }

  @Test
  void contentThatTheStoreLostIsTakenFromPeer() {
    mirror.setContentVersion(KindObject::version);
    feed.era = 1;
    mirror.tick();
    feed.completeList(7, FakeFeed.object("a", 2));
    KindMirror peer = KindMirror.create("k", feed, clock, OPTIONS, 2);
    peer.setContentVersion(KindObject::version);
    feed.era = 0;
    peer.tick();
    feed.completeList(10, FakeFeed.object("a", 9));
    assertThat(mirror.replaceIfNewer(peer.snapshot())).isTrue();
    assertThat(mirror.objects().get("a")).isEqualTo(FakeFeed.object("a", 9));
    assertThat(mirror.position()).isEqualTo(new StorePosition(1, 7));
  }

  @Test
  void listOlderThanPeerCopyIsIgnored() {
    mirror.tick();
    MirrorSnapshot newer =
        MirrorSnapshot.newBuilder().setKind("k").setRevision(40).setChangedRevision(40).build();
    mirror.replaceIfNewer(newer);
    feed.completeList(10, FakeFeed.object("a", 3));
    assertThat(mirror.position().revision()).isEqualTo(40);
    assertThat(mirror.objects()).isEmpty();
  }
}
