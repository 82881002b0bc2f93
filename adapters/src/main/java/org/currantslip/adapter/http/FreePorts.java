package org.currantslip.adapter.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Finds free ports below the ephemeral range, which outgoing connections may take. */
public final class FreePorts {
  private static final int MIN_PORT = 12_000;
  private static final int END_PORT = 32_000;

  private FreePorts() {}

  /** Returns {@code count} distinct free ports. */
  public static List<Integer> find(int count) throws IOException {
    Random random = new Random();
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      while (sockets.size() < count) {
        tryBind(MIN_PORT + random.nextInt(END_PORT - MIN_PORT), sockets);
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  private static void tryBind(int port, List<ServerSocket> sockets) throws IOException {
    ServerSocket socket = new ServerSocket();
    try {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      sockets.add(socket);
    } catch (IOException portInUse) {
      socket.close();
    }
  }
}
