package org.currantslip.standin.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Finds ports that nobody listens on, below the range of outgoing connections. */
public final class FreePorts {
  private static final int FIRST = 12_000;
  private static final int LAST = 32_000;

  private FreePorts() {}

  /** Returns this many different free ports. */
  public static List<Integer> find(int count) throws IOException {
    Random random = new Random();
    List<ServerSocket> held = new ArrayList<>();
    try {
      while (held.size() < count) {
        tryHold(FIRST + random.nextInt(LAST - FIRST), held);
      }
      return held.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : held) {
        socket.close();
      }
    }
  }

  private static void tryHold(int port, List<ServerSocket> held) throws IOException {
    ServerSocket socket = new ServerSocket();
    try {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      held.add(socket);
    } catch (IOException busy) {
      socket.close();
    }
  }
}
