package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Passes channels on to a server. On demand the open channels fall silent for good, without a reset,
 * while new ones work.
 */
public final class Proxy {
  private final InetSocketAddress target;
  private final ServerSocket server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Text.daemon("proxy"));
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();

  private static final class Channel {
    private final Socket near;
    private volatile boolean dead;

    private Channel(Socket near) {
      this.near = near;
    }
  }

  public Proxy(String address) throws IOException {
    String[] parts = address.split(":");
    target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    threads.execute(this::accept);
  }

  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Drops all further bytes of the channels that are open now; returns how many there are. */
  public int silenceOpenChannels() {
    open.forEach(channel -> channel.dead = true);
    return open.size();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Channel channel = new Channel(server.accept());
        open.add(channel);
        threads.execute(() -> serve(channel));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Channel channel) {
    try (Socket near = channel.near;
        Socket far = new Socket()) {
      far.connect(target, 1_000);
      threads.execute(() -> copy(channel, far, near));
      copy(channel, near, far);
    } catch (IOException e) {
      // Ends with the channel.
    } finally {
      open.remove(channel);
    }
  }

  private static void copy(Channel channel, Socket from, Socket to) {
    byte[] buffer = new byte[16 << 10];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!channel.dead) {
          out.write(buffer, 0, count);
        }
      }
      if (!channel.dead) {
        to.shutdownOutput();
      }
    } catch (IOException e) {
      // The other direction ends as well.
    }
  }

  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
