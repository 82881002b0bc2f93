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
 * Keeps versions of sessions at two home nodes, chosen by rendezvous hashing of the session.
 *
 * <p>A request asks both homes and then tells both what it uses, so that a session keeps its
 * version while one home is lost or replaced. Owned by the decision thread.
 */
public final class HomeTable implements SessionHomes {
  private static final int HOMES = 2;
  private static final int MAX_ENTRIES = 50_000;
  private static final long ASK_TIMEOUT_MS = 150;

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

  private HomeTable(Membership membership, PeerNetwork peers) {
    this.membership = membership;
    this.peers = peers;
  }

  /** Returns an empty table. */
  public static HomeTable create(Membership membership, PeerNetwork peers) {
    return new HomeTable(membership, peers);
  }

  @Override
  public CompletableFuture<String> keep(SessionBinding proposal) {
    List<String> homes = homesOf(proposal);
    SessionQuery question = query(proposal, "");
    List<CompletableFuture<String>> answers = homes.stream().map(h -> ask(h, question)).toList();
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(
            done -> {
              String version =
                  answers.stream()
                      .map(CompletableFuture::join)
                      .filter(v -> !v.isEmpty())
                      .findFirst()
                      .orElse(proposal.version());
              homes.forEach(h -> tell(h, query(proposal, version)));
              return version;
            });
  }

  @Override
  public SessionAnswer answer(SessionQuery query) {
    Key key = new Key(query.getAccount(), query.getSession(), query.getModel());
    if (!query.getVersion().isEmpty()) {
      versions.put(key, query.getVersion());
    }
    return SessionAnswer.newBuilder().setVersion(versions.getOrDefault(key, "")).build();
  }

  private List<String> homesOf(SessionBinding b) {
    String session = b.account() + "/" + b.session();
    return membership.live().stream()
        .map(NodeRecord::getId)
        .map(id -> id.getName())
        .sorted(Comparator.comparingLong(n -> weight(session, n)))
        .limit(HOMES)
        .toList();
  }

  private static long weight(String session, String node) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(session, StandardCharsets.UTF_8)
        .putChar('|')
        .putString(node, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  private CompletableFuture<String> ask(String home, SessionQuery question) {
    if (isSelf(home)) {
      return CompletableFuture.completedFuture(answer(question).getVersion());
    }
    return peers
        .ask(home, frame(question), ASK_TIMEOUT_MS)
        .handle((reply, failure) -> reply == null ? "" : reply.getSessionAnswer().getVersion());
  }

  private void tell(String home, SessionQuery statement) {
    if (isSelf(home)) {
      SessionAnswer unused = answer(statement);
    } else {
      peers.send(home, frame(statement));
    }
  }

  private boolean isSelf(String home) {
    return home.equals(membership.self().getId().getName());
  }

  private static PeerFrame frame(SessionQuery query) {
    return PeerFrame.newBuilder().setSessionQuery(query).build();
  }

  private static SessionQuery query(SessionBinding b, String version) {
    return SessionQuery.newBuilder()
        .setAccount(b.account())
        .setSession(b.session())
        .setModel(b.model())
        .setVersion(version)
        .build();
  }
}
