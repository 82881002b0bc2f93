package org.currantslip.core.session;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.SessionAnswer;
import org.currantslip.schema.SessionQuery;

/**
 * Stores the model versions of sessions on two home nodes, selected by rendezvous hashing.
 *
 * <p>Each request queries both home nodes and then updates both with the version it uses, so that a
 * session keeps its version when one home node is lost or replaced. Confined to the decision
 * thread.
 */
public final class HomeNodeBindings implements SessionBindings {
  private static final int HOME_NODES = 2;
  private static final int MAX_ENTRIES = 50_000;
  private static final long QUERY_TIMEOUT_MS = 150;

  private final Membership membership;
  private final PeerNetwork peers;
  private final Map<Key, String> versions =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, String> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  private record Key(String account, String session, String model) {}

  private HomeNodeBindings(Membership membership, PeerNetwork peers) {
    this.membership = membership;
    this.peers = peers;
  }

  /** Returns an empty table. */
  public static HomeNodeBindings create(Membership membership, PeerNetwork peers) {
    return new HomeNodeBindings(membership, peers);
  }

  @Override
  public CompletableFuture<String> bind(SessionBinding proposal) {
    List<String> homeNodes = homeNodesOf(proposal);
    SessionQuery lookup = buildQuery(proposal, "");
    List<CompletableFuture<String>> answers =
        homeNodes.stream().map(h -> queryHome(h, lookup)).toList();
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(
            unused -> {
              String version =
                  answers.stream()
                      .map(CompletableFuture::join)
                      .filter(v -> !v.isEmpty())
                      .findFirst()
                      .orElse(proposal.version());
              homeNodes.forEach(h -> updateHome(h, buildQuery(proposal, version)));
              return version;
            });
  }

  @Override
  public SessionAnswer onQuery(SessionQuery query) {
    Key key = new Key(query.getAccount(), query.getSession(), query.getModel());
    if (!query.getVersion().isEmpty()) {
      versions.put(key, query.getVersion());
    }
    return SessionAnswer.newBuilder().setVersion(versions.getOrDefault(key, "")).build();
  }

  private List<String> homeNodesOf(SessionBinding b) {
    String session = b.account() + "/" + b.session();
    return membership.live().stream()
        .map(NodeRecord::getId)
        .map(id -> id.getName())
        .sorted(Comparator.comparingLong(n -> rendezvousHash(session, n)))
        .limit(HOME_NODES)
        .toList();
  }

  private static long rendezvousHash(String session, String node) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(session, StandardCharsets.UTF_8)
        .putChar('|')
        .putString(node, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  private CompletableFuture<String> queryHome(String homeNode, SessionQuery lookup) {
    if (isSelf(homeNode)) {
      return CompletableFuture.completedFuture(onQuery(lookup).getVersion());
    }
    return peers
        .request(homeNode, frame(lookup), QUERY_TIMEOUT_MS)
        .handle((reply, failure) -> reply == null ? "" : reply.getSessionAnswer().getVersion());
  }

  private void updateHome(String homeNode, SessionQuery update) {
    if (isSelf(homeNode)) {
      SessionAnswer unused = onQuery(update);
    } else {
      peers.send(homeNode, frame(update));
    }
  }

  private boolean isSelf(String homeNode) {
    return homeNode.equals(membership.self().getId().getName());
  }

  private static PeerFrame frame(SessionQuery query) {
    return PeerFrame.newBuilder().setSessionQuery(query).build();
  }

  private static SessionQuery buildQuery(SessionBinding b, String version) {
    return SessionQuery.newBuilder()
        .setAccount(b.account())
        .setSession(b.session())
        .setModel(b.model())
        .setVersion(version)
        .build();
  }
}
