package org.currantslip.core.mirror;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorObject;
import org.currantslip.schema.MirrorWatch;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.junit.jupiter.api.Test;

/** Tests a follower whose watchers answer by hand. */
final class RelayedFeedTest {
  private static final String KIND = "things";
  private static final StorePosition AFTER = StorePosition.of(7);
  private static final long WAIT_MS = 12_000;
  private static final long TICK_MS = 10;

  private final FakeEvents events = FakeEvents.on(ManualClock.startingAt(1_000_000));
  private final FakePeerNetwork network = FakePeerNetwork.create(events);
  private final List<String> avoided = new ArrayList<>();
  private final Map<String, Function<MirrorWatch, CompletableFuture<PeerFrame>>> answers =
      new HashMap<>();
  private final StoreWatchers watchers = followerOfTwo();
  private final RelayedFeed feed = feed();

  /** Returns the choice of the node that follows, of three in one failure domain. */
  private StoreWatchers followerOfTwo() {
    List<NodeRecord> records =
        Stream.of("a", "b", "c").map(n -> FakeMembership.node(n, 1, "domain")).toList();
    return records.stream()
        .map(r -> watchersSeenFrom(r, records))
        .filter(w -> !w.isWatcher())
        .findFirst()
        .orElseThrow();
  }

  private RelayedFeed feed() {
    watchers.setAvoidListener((watcher, reason) -> avoided.add(reason));
    Stream.of("a", "b", "c")
        .forEach(name -> network.join(name, (from, frame) -> answer(name, frame)));
    PeerNetwork peers = network.join("self", (from, frame) -> never());
    MirrorCopies copies = MirrorCopies.create(peers, events.clock());
    FakeKindStore store = FakeKindStore.on(events);
    return RelayedFeed.create(store.newLink(), peers, copies, watchers, events.clock());
  }

  private CompletableFuture<PeerFrame> answer(String name, PeerFrame frame) {
    return answers.getOrDefault(name, watch -> never()).apply(frame.getMirrorWatch());
  }

  private static CompletableFuture<PeerFrame> reply(MirrorChanges.Builder changes) {
    return CompletableFuture.completedFuture(
        PeerFrame.newBuilder().setMirrorChanges(changes).build());
  }

  private static MirrorChanges.Builder change() {
    return MirrorChanges.newBuilder()
        .setRevision(8)
        .addObject(MirrorObject.newBuilder().setName("new").setVersion(8));
  }

  private void advance(long ms) {
    for (long i = 0; i < ms; i += TICK_MS) {
      events.advance(TICK_MS);
      feed.tick();
    }
  }

  private StoreWatchers watchersSeenFrom(NodeRecord self, List<NodeRecord> records) {
    FakeMembership membership = FakeMembership.of(self);
    records.forEach(membership::add);
    return StoreWatchers.create(membership, events.clock());
  }

  private static CompletableFuture<PeerFrame> never() {
    return new CompletableFuture<>();
  }

  /** Nodes of earlier builds leave a watch unanswered that the same follower has replaced. */
  @Test
  void replacedWatchWithoutAnswerDoesNotTurnTheFollowerAway() {
    final CompletableFuture<KindChanges> replaced = feed.watchKind(KIND, AFTER, WAIT_MS);
    events.advance(5_000);
    feed.watchKind(KIND, AFTER, WAIT_MS);
    events.advance(10_000);
    assertThat(replaced.isCompletedExceptionally()).isTrue();
    assertThat(avoided).isEmpty();
  }

  @Test
  void watcherThatDoesNotAnswerIsAvoided() {
    feed.watchKind(KIND, AFTER, WAIT_MS);
    events.advance(WAIT_MS + 2_000);
    assertThat(avoided).hasSize(1);
  }

  @Test
  void announcedChangeIsRequestedWhenTheWatcherIsSilent() {
    answers.put(
        watchers.announcer().orElseThrow(),
        watch ->
            reply(
                watch.getAnnounceOnly()
                    ? MirrorChanges.newBuilder().setOutcome(MirrorChanges.Outcome.ANNOUNCED)
                    : change()));
    CompletableFuture<KindChanges> watch = feed.watchKind(KIND, AFTER, WAIT_MS);
    advance(FollowedWatch.ANNOUNCED_GRACE_MS - TICK_MS);
    assertThat(watch.isDone()).isFalse();
    advance(5 * TICK_MS);
    assertThat(watch.join().position()).isEqualTo(StorePosition.of(8));
  }

  /** Nodes of earlier builds send the changes, since they do not know of announcements. */
  @Test
  void changesFromAnAnnouncerOfAnEarlierBuildEndTheWatch() {
    answers.put(watchers.announcer().orElseThrow(), watch -> reply(change()));
    CompletableFuture<KindChanges> watch = feed.watchKind(KIND, AFTER, WAIT_MS);
    advance(5 * TICK_MS);
    assertThat(watch.join().changes()).hasSize(1);
  }

  @Test
  void announcerThatDoesNotWatchIsReplacedOrLeftOut() {
    MirrorChanges.Builder notWatching =
        MirrorChanges.newBuilder().setOutcome(MirrorChanges.Outcome.NOT_WATCHING).setReason("lost");
    answers.put(watchers.announcer().orElseThrow(), watch -> reply(notWatching));
    CompletableFuture<KindChanges> watch = feed.watchKind(KIND, AFTER, WAIT_MS);
    advance(1_000);
    assertThat(avoided).containsExactly("lost");
    assertThat(watch.isDone()).isFalse();
  }
}
