package org.currantslip.node.poll;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.adapter.rating.Rating;
import org.currantslip.core.audit.DecisionLog;
import org.currantslip.core.burn.BurnRecorder;
import org.currantslip.core.cascade.RatedCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.membership.MembershipOptions;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.rollout.EvidenceVersionPolicy;
import org.currantslip.core.rollout.RolloutOptions;
import org.currantslip.schema.DecisionRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.RatingNotice;
import org.junit.jupiter.api.Test;

final class RatingPollTest {
  private static final String OWN_REQUEST = "n1.1.1";
  private static final String PEER_REQUEST = "n2.1.1";
  private static final String OTHER_DOMAIN_REQUEST = "n3.1.1";
  private static final long TICK_MS = 500;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final Map<String, List<PeerFrame>> sent = new HashMap<>();
  private final List<Long> cursors = new ArrayList<>();
  private final List<Rating> feed = new ArrayList<>();
  private final NodeRecord self = node("n1", "a");
  private final EvidenceVersionPolicy versions =
      EvidenceVersionPolicy.create(self.getId(), clock, RolloutOptions.defaults());
  private final PendingAnswers answers =
      PendingAnswers.create(
          versions, RatedCascade.create(clock), BurnRecorder.create(clock, noConfig()));
  private final HeartbeatMembership membership =
      HeartbeatMembership.create(
          self, new UnavailableStore(), peers(), clock, MembershipOptions.of(500, 2_500));
  private final RatingPoll poll =
      RatingPoll.create(
          this::since,
          membership,
          peers(),
          answers,
          DecisionLog.create(self.getId(), new UnavailableStore(), clock),
          clock);

  RatingPollTest() {
    membership.onRecord(node("n2", "a"));
    membership.onRecord(node("n3", "b"));
    answers.add(answer(OWN_REQUEST));
  }

  private static NodeRecord node(String name, String domain) {
    return NodeRecord.newBuilder()
        .setId(NodeId.newBuilder().setName(name).setIncarnation(1))
        .setFailureDomain(domain)
        .setState(NodeState.SERVING)
        .build();
  }

  private static DecisionRecord answer(String requestId) {
    return DecisionRecord.newBuilder()
        .setRequestId(requestId)
        .setAccount("account")
        .setModel("m")
        .setVersion("v1")
        .build();
  }

  private static ConfigSource noConfig() {
    return new ConfigSource() {
      @Override
      public ConfigView current() {
        return ConfigView.none();
      }

      @Override
      public boolean isFresh() {
        return true;
      }
    };
  }

  private PeerNetwork peers() {
    return new PeerNetwork() {
      @Override
      public void send(String node, PeerFrame frame) {
        sent.computeIfAbsent(node, k -> new ArrayList<>()).add(frame);
      }

      @Override
      public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
        return new CompletableFuture<>();
      }
    };
  }

  private CompletableFuture<List<Rating>> since(long cursor) {
    cursors.add(cursor);
    return CompletableFuture.completedFuture(
        feed.stream().filter(r -> r.cursor() > cursor).toList());
  }

  private void tick() {
    poll.tick();
    clock.advance(TICK_MS);
  }

  /** Makes this node the only one of its failure domain, and thereby the reader. */
  private void becomeReader() {
    membership.onRecord(node("n2", "a").toBuilder().setState(NodeState.GONE).build());
  }

  @Test
  void countsRepeatedRatingOnce() {
    RatingNotice notice = RatingNotice.newBuilder().setRequestId(OWN_REQUEST).setCursor(4).build();

    poll.onNotice(notice);
    poll.onNotice(notice);

    assertThat(versions.evidence().getEvidence(0).getBad()).isEqualTo(1);
  }

  @Test
  void readerResumesFromHighestKnownCursor() {
    becomeReader();
    poll.onNotice(RatingNotice.newBuilder().setRequestId("n1.1.z").setCursor(4).build());
    feed.add(new Rating(OWN_REQUEST, false, 5));

    tick();
    tick();

    assertThat(cursors).containsExactly(4L, 5L).inOrder();
    assertThat(versions.evidence().getEvidence(0).getBad()).isEqualTo(1);
  }

  @Test
  void ignoresRatingsOfOtherDomains() {
    becomeReader();
    feed.add(new Rating(OTHER_DOMAIN_REQUEST, false, 1));
    feed.add(new Rating("not an id", false, 2));

    tick();

    assertThat(sent).isEmpty();
  }

  @Test
  void onlyReaderOfDomainDeliversRatings() {
    feed.add(new Rating(PEER_REQUEST, true, 1));
    feed.add(new Rating(OWN_REQUEST, true, 2));

    tick();

    boolean isReader = !cursors.isEmpty();
    assertThat(sent.containsKey("n2")).isEqualTo(isReader);
    assertThat(versions.evidence().getEvidenceCount()).isEqualTo(isReader ? 1 : 0);
  }

  /** An object store on which every operation fails. */
  private static final class UnavailableStore implements ObjectStore {
    private static <T> CompletableFuture<T> unavailable() {
      return CompletableFuture.failedFuture(
          StoreException.of(StoreException.Kind.NOT_DONE, "down"));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
      return unavailable();
    }

    @Override
    public CompletableFuture<Long> create(String name, ByteString value) {
      return unavailable();
    }

    @Override
    public CompletableFuture<Long> update(String name, ByteString value, long expectedVersion) {
      return unavailable();
    }

    @Override
    public CompletableFuture<Void> delete(String name, long expectedVersion) {
      return unavailable();
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit) {
      return unavailable();
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
        String name, long afterVersion, long waitMs) {
      return unavailable();
    }
  }
}
