package org.currantslip.standin.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A loopback TCP proxy that injects connection faults. */
final class FaultProxy implements AutoCloseable {
  /** How connections are treated. */
  enum Mode {
    /** Bytes are forwarded. */
    PASS,
    /** Bytes are forwarded after a delay. */
    DELAY,
    /** Open and new connections are reset. */
    RESET,
    /** No bytes are forwarded, and connections stay open. */
    STALL,
    /** Only bytes from the server are forwarded. */
    STALL_TO_SERVER,
    /** Only bytes from the client are forwarded. */
    STALL_TO_CLIENT
  }

  private static final int BUFFER_BYTES = 16 << 10;
  private static final int BACKLOG = 128;
  private static final long DELAY_MS = 150;
  private static final long POLL_MS = 5;

  private final int port;
  private final int target;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private volatile Mode mode = Mode.PASS;
  private volatile boolean down;
  private volatile long lastChangedMs = System.currentTimeMillis();

  private FaultProxy(ServerSocket listener, int target) {
    this.listener = listener;
    port = listener.getLocalPort();
    this.target = target;
  }

  static FaultProxy to(int target) throws IOException {
    ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    FaultProxy proxy = new FaultProxy(listener, target);
    start(proxy::accept);
    return proxy;
  }

  int port() {
    return port;
  }

  /** Returns whether no fault was active since a time. */
  boolean isUndisturbedSince(long atMs) {
    return mode == Mode.PASS && !down && lastChangedMs <= atMs;
  }

  void set(Mode next) {
    mode = next;
    lastChangedMs = System.currentTimeMillis();
    if (next == Mode.RESET) {
      openSockets.forEach(FaultProxy::reset);
    }
  }

  /** Closes the port and resets all connections, as if the server had crashed. */
  void goDown() {
    down = true;
    lastChangedMs = System.currentTimeMillis();
    stopListening();
    openSockets.forEach(FaultProxy::reset);
  }

  boolean isDown() {
    return down;
  }

  /** Opens the same port again. */
  void comeBack() throws IOException {
    listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
    lastChangedMs = System.currentTimeMillis();
    down = false;
    start(this::accept);
  }

  private void accept() {
    ServerSocket current = listener;
    while (!current.isClosed()) {
      try {
        Socket client = current.accept();
        if (mode == Mode.RESET) {
          reset(client);
          continue;
        }
        Socket server = new Socket(InetAddress.getLoopbackAddress(), target);
        openSockets.add(client);
        openSockets.add(server);
        if (down) {
          reset(client);
          reset(server);
        }
        start(() -> pump(client, server, Mode.STALL_TO_SERVER));
        start(() -> pump(server, client, Mode.STALL_TO_CLIENT));
      } catch (IOException e) {
        // The listener was closed, or the server is unreachable and the client sees its connection
        // end.
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MS));
      }
    }
  }

  private void pump(Socket from, Socket to, Mode stalled) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (mode == Mode.DELAY) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DELAY_MS));
        }
        while (mode == Mode.STALL || mode == stalled) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MS));
        }
        out.write(buffer, 0, n);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      // One side was reset, so reset the other too.
      reset(from);
      reset(to);
    } finally {
      openSockets.remove(from);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The other pump thread closed it first.
      return;
    }
  }

  private void stopListening() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new UncheckedIOException("port " + port + " cannot be closed", e);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "proxy");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    openSockets.forEach(FaultProxy::reset);
  }
}
