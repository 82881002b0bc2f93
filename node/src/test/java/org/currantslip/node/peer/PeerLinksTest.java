package org.currantslip.node.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.currantslip.core.port.PeerException;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.schema.Heartbeat;
import org.currantslip.schema.Hello;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.SecuritySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PeerLinksTest {
  private static final String SECRET = "secret-of-all-the-nodes";
  private static final int MAX_FRAME_BYTES = 8_192;

  private final Map<String, NodeRecord> directory = new HashMap<>();
  private final List<TestNode> nodes = new ArrayList<>();

  /** A node that replies to every frame with the heartbeat it received. */
  private final class TestNode implements PeerDispatcher {
    final DecisionThread decisionThread = DecisionThread.create(System::currentTimeMillis);
    final BlockingQueue<String> opened = new LinkedBlockingQueue<>();
    final BlockingQueue<PeerFrame> frames = new LinkedBlockingQueue<>();
    final PeerLinks links;
    final int port;

    TestNode(String name, String secret, long silentMs) throws InterruptedException {
      this(name, secret, silentMs, PeerTls.none());
    }

    TestNode(String name, String secret, long silentMs, PeerTls tls) throws InterruptedException {
      PeerOptions options =
          new PeerOptions("127.0.0.1", 0, secret, MAX_FRAME_BYTES, 64, silentMs / 5, silentMs);
      links =
          PeerLinks.create(
              record(name, 0),
              options,
              tls,
              System::currentTimeMillis,
              decisionThread,
              this::lookUp);
      port = links.listen(this);
      directory.put(name, record(name, port));
      decisionThread.onTick(links::tick);
      decisionThread.start();
      nodes.add(this);
    }

    private Optional<NodeRecord> lookUp(String name) {
      return Optional.ofNullable(directory.get(name));
    }

    @Override
    public void onLink(NodeRecord peer) {
      opened.add(peer.getId().getName());
    }

    @Override
    public void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {
      frames.add(frame);
      reply.accept(PeerFrame.newBuilder().setHeartbeat(frame.getHeartbeat()).build());
    }

    CompletableFuture<PeerFrame> ask(String node, PeerFrame frame, long timeoutMs) {
      return onDecisionThread(() -> links.request(node, frame, timeoutMs))
          .thenCompose(reply -> reply);
    }

    <T> CompletableFuture<T> onDecisionThread(Supplier<T> task) {
      return CompletableFuture.supplyAsync(task, decisionThread);
    }
  }

  private static NodeRecord record(String name, int port) {
    return NodeRecord.newBuilder()
        .setId(NodeId.newBuilder().setName(name).setIncarnation(1))
        .setPeerAddress("127.0.0.1:" + port)
        .build();
  }

  private static PeerFrame heartbeat(long version) {
    return PeerFrame.newBuilder()
        .setHeartbeat(Heartbeat.newBuilder().setConfigVersion(version))
        .build();
  }

  @AfterEach
  void close() throws InterruptedException {
    for (TestNode node : nodes) {
      node.links.close();
      node.decisionThread.stop();
    }
  }

  private TestNode node(String name) throws InterruptedException {
    return new TestNode(name, SECRET, 60_000);
  }

  private static void assertFails(CompletableFuture<?> future) {
    CompletionException failure = Assertions.assertThrows(CompletionException.class, future::join);
    assertThat(failure).hasCauseThat().isInstanceOf(PeerException.class);
  }

  @Test
  void sendsRequestsOverLinksOpenedOnDemand() throws Exception {
    TestNode a = node("a");
    TestNode b = node("b");

    PeerFrame reply = a.ask("b", heartbeat(7), 60_000).get();

    assertThat(reply.getHeartbeat().getConfigVersion()).isEqualTo(7);
    assertThat(b.opened.take()).isEqualTo("a");
    assertThat(b.ask("a", heartbeat(8), 60_000).get().getHeartbeat().getConfigVersion())
        .isEqualTo(8);
    assertThat(a.onDecisionThread(a.links::openLinkCount).get()).isEqualTo(1);
  }

  @Test
  void failsRequestsToNodesThatAreUnknownOrDown() throws Exception {
    TestNode a = node("a");
    try (ServerSocket closed = new ServerSocket(0)) {
      directory.put("down", record("down", closed.getLocalPort()));
    }

    assertFails(a.ask("unknown", heartbeat(1), 60_000));
    assertFails(a.ask("down", heartbeat(1), 60_000));
  }

  @Test
  void refusesWrongSecretsInBothDirections() throws Exception {
    TestNode a = node("a");
    TestNode b = new TestNode("b", "another secret altogether", 60_000);

    assertFails(a.ask("b", heartbeat(1), 60_000));
    assertFails(b.ask("a", heartbeat(1), 60_000));
    assertThat(a.opened).isEmpty();
    assertThat(b.opened).isEmpty();
  }

  @Test
  void refusesPeerWithUnexpectedNodeName() throws Exception {
    TestNode a = node("a");
    TestNode b = node("b");
    directory.put("c", record("c", b.port));

    assertFails(a.ask("c", heartbeat(1), 60_000));
  }

  @Test
  void failsRequestsToPeersThatAcceptButStaySilent() throws Exception {
    TestNode a = new TestNode("a", SECRET, 300);
    try (ServerSocket silent = new ServerSocket(0)) {
      directory.put("silent", record("silent", silent.getLocalPort()));

      assertFails(a.ask("silent", heartbeat(1), 600_000));
    }
  }

  private static void write(Socket socket, PeerFrame frame) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    byte[] bytes = frame.toByteArray();
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  private static PeerFrame read(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return PeerFrame.parseFrom(bytes);
  }

  private static PeerFrame hello(Hello hello) {
    return PeerFrame.newBuilder().setHello(hello).build();
  }

  /** Performs the handshake as the connecting peer and returns the last hello sent. */
  private static Hello performHandshake(Socket socket, long nonce) throws IOException {
    Hello first = Hello.newBuilder().setNode(record("x", 1)).setNonce(nonce).build();
    write(socket, hello(first));
    long peerNonce = read(socket).getHello().getNonce();
    Hello last =
        first.toBuilder()
            .setMac(HelloMac.of(SECRET).sign(true, nonce, peerNonce, first.getNode()))
            .build();
    write(socket, hello(last));
    return last;
  }

  private static void assertClosed(Socket socket) throws IOException {
    while (socket.getInputStream().read() >= 0) {
      // Discards data sent before the close.
    }
  }

  @Test
  void refusesReplayedHellos() throws Exception {
    TestNode a = node("a");
    Hello recorded;
    try (Socket socket = new Socket("127.0.0.1", a.port)) {
      recorded = performHandshake(socket, 5);
      assertThat(a.opened.take()).isEqualTo("x");
    }

    try (Socket socket = new Socket("127.0.0.1", a.port)) {
      write(socket, hello(recorded.toBuilder().setMac(ByteString.EMPTY).build()));
      write(socket, hello(recorded));
      assertClosed(socket);
    }
    assertThat(a.opened).isEmpty();
  }

  @Test
  void closesLinksWhosePeerGoesSilent() throws Exception {
    TestNode a = new TestNode("a", SECRET, 300);
    try (Socket socket = new Socket("127.0.0.1", a.port)) {
      performHandshake(socket, 5);
      assertThat(a.opened.take()).isEqualTo("x");

      assertClosed(socket);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {MAX_FRAME_BYTES + 1, Integer.MAX_VALUE, -1})
  void closesLinksThatAnnounceOversizedFrames(int bytes) throws Exception {
    TestNode a = node("a");
    try (Socket socket = new Socket("127.0.0.1", a.port)) {
      performHandshake(socket, 5);
      assertThat(a.opened.take()).isEqualTo("x");
      new DataOutputStream(socket.getOutputStream()).writeInt(bytes);

      assertClosed(socket);
    }
  }

  @Test
  void acceptsOnlyHellosBeforeTheHandshakeAndNoneAfter() throws Exception {
    TestNode a = node("a");
    try (Socket socket = new Socket("127.0.0.1", a.port)) {
      write(socket, heartbeat(1));
      assertClosed(socket);
    }
    try (Socket socket = new Socket("127.0.0.1", a.port)) {
      Hello last = performHandshake(socket, 5);
      write(socket, hello(last));
      assertClosed(socket);
    }
    assertThat(a.frames).isEmpty();
  }

  @Test
  void malformedFramesCloseOnlyTheirLink() throws Exception {
    TestNode a = node("a");
    TestNode b = node("b");
    assertThat(b.ask("a", heartbeat(1), 60_000).get().hasHeartbeat()).isTrue();
    try (Socket socket = new Socket("127.0.0.1", a.port)) {
      performHandshake(socket, 5);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(3);
      out.write(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff});

      assertClosed(socket);
    }
    assertThat(b.ask("a", heartbeat(2), 60_000).get().hasHeartbeat()).isTrue();
  }

  private static void installTlsFiles(Path dir, String prefix) throws IOException {
    for (String file : List.of("cert.pem", "key.pem")) {
      Path staged = dir.resolve("new-" + file);
      Files.copy(Path.of("src/test/resources/tls", prefix + "-" + file), staged);
      Files.move(staged, dir.resolve(file), StandardCopyOption.REPLACE_EXISTING);
    }
  }

  private static PeerTls tlsFrom(Path dir) throws IOException {
    return PeerTls.from(
        SecuritySettings.newBuilder()
            .setTlsCertificateFile(dir.resolve("cert.pem").toString())
            .setTlsKeyFile(dir.resolve("key.pem").toString())
            .setTlsCaFile(dir.resolve("cert.pem").toString())
            .build());
  }

  @Test
  void usesChangedTlsFilesForTheNextLink(@TempDir Path first, @TempDir Path second)
      throws Exception {
    installTlsFiles(first, "old");
    installTlsFiles(second, "new");
    TestNode a = new TestNode("a", SECRET, 60_000, tlsFrom(first));
    TestNode b = new TestNode("b", SECRET, 60_000, tlsFrom(second));

    assertFails(a.ask("b", heartbeat(1), 60_000));
    installTlsFiles(first, "new");
    CompletableFuture<PeerFrame> reply = a.ask("b", heartbeat(2), 60_000);
    while (hasFailed(reply)) {
      reply = a.ask("b", heartbeat(2), 60_000);
    }

    assertThat(reply.get().getHeartbeat().getConfigVersion()).isEqualTo(2);
    TestNode plain = node("plain");
    assertFails(a.ask("plain", heartbeat(1), 2_000));
    assertThat(plain.opened).isEmpty();
  }

  /** Waits for the reply. Callers retry, as a failed link is not reopened immediately. */
  private static boolean hasFailed(CompletableFuture<?> reply) {
    return reply.handle((value, failure) -> failure != null).join();
  }
}
