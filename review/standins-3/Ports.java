import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Finds ports that are free on all given addresses, below those of outgoing connections. */
final class Ports implements AutoCloseable {
  private static final int FIRST = 12_000;
  private static final int LAST = 31_000;

  private final List<ServerSocket> held = new ArrayList<>();
  private final Random random = new Random();
  private final String[] hosts;

  /** Returns loopback addresses that no other run is likely to use. */
  static String[] hosts(int count) {
    Random random = new Random();
    String net = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
    String[] hosts = new String[count];
    for (int i = 0; i < count; i++) {
      hosts[i] = net + (10 + i);
    }
    return hosts;
  }

  Ports(String... hosts) {
    this.hosts = hosts;
  }

  /** Returns a port; its sockets stay open until {@link #close}, so that none comes twice. */
  int next() throws IOException {
    for (int tries = 0; tries < 1_000; tries++) {
      int port = FIRST + random.nextInt(LAST - FIRST);
      List<ServerSocket> bound = new ArrayList<>();
      try {
        for (String host : hosts) {
          ServerSocket socket = new ServerSocket();
          bound.add(socket);
          socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
        }
        held.addAll(bound);
        return port;
      } catch (IOException e) {
        for (ServerSocket socket : bound) {
          socket.close();
        }
      }
    }
    throw new IOException("no free port");
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket socket : held) {
      socket.close();
    }
  }
}
