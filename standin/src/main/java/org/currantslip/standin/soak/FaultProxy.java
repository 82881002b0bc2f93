package org.currantslip.standin.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A TCP proxy on loopback that can harm the connections through it. */
final class FaultProxy implements AutoCloseable {
  /** What happens to connections. */
  enum Mode {
    /** Bytes pass. */
    CLEAR,
    /** Bytes pass late. */
    DELAY,
    /** Open and new connections are reset. */
    RESET,
    /** No bytes pass, and no connection ends. */
    SILENT,
    /** Bytes pass from the server alone. */
    CUT_TO_SERVER,
    /** Bytes pass from the client alone. */
    CUT_TO_CLIENT
  }

  private static final int BUFFER_BYTES = 16 << 10;
  private static final long DELAY_MS = 150;
  private static final long POLL_MS = 5;

  private final ServerSocket listener;
  private final int target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile Mode mode = Mode.CLEAR;
  private volatile long calmSinceMs = System.currentTimeMillis();

  private FaultProxy(ServerSocket listener, int target) {
    this.listener = listener;
    this.target = target;
  }

  static FaultProxy to(int target) throws IOException {
    ServerSocket listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    FaultProxy proxy = new FaultProxy(listener, target);
    start(proxy::accept);
    return proxy;
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns whether no harm was done since a time. */
  boolean isCalmSince(long atMs) {
    return mode == Mode.CLEAR && calmSinceMs <= atMs;
  }

  void set(Mode next) {
    mode = next;
    calmSinceMs = System.currentTimeMillis();
    if (next == Mode.RESET) {
      open.forEach(FaultProxy::reset);
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        if (mode == Mode.RESET) {
          reset(client);
          continue;
        }
        Socket server = new Socket(InetAddress.getLoopbackAddress(), target);
        open.add(client);
        open.add(server);
        start(() -> pump(client, server, Mode.CUT_TO_SERVER));
        start(() -> pump(server, client, Mode.CUT_TO_CLIENT));
      } catch (IOException e) {
        // The listener was closed, or the server is gone; the client then sees its connection end.
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MS));
      }
    }
  }

  private void pump(Socket from, Socket to, Mode cut) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (mode == Mode.DELAY) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DELAY_MS));
        }
        while (mode == Mode.SILENT || mode == cut) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MS));
        }
        out.write(buffer, 0, n);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      // One side ended by force; so does the other.
      reset(from);
      reset(to);
    } finally {
      open.remove(from);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The other pump closed it first.
      return;
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
    open.forEach(FaultProxy::reset);
  }
}
