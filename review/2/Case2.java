import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** REFUSED: a runner that fails after it ran a booking; its caller is told that it never ran. */
public final class Case2 {
  private static final int RUNNERS = 8;
  private static final int BOOKINGS = 300;
  private static final int GREY = 4;
  private static final int FAILED_PERCENT = 45;

  private Case2() {}

  public static void main(String[] args) {
    World.run(args, Case2::run);
  }

  private static boolean run(World world) throws Exception {
    Map<String, AtomicInteger> applied = new ConcurrentHashMap<>();
    Set<String> ran = ConcurrentHashMap.newKeySet();
    AtomicInteger atGrey = new AtomicInteger();
    world.configure(7, List.of(World.route("bookings", "/bookings/", "unsafe", World.SERVICE, 4_000, 3)), List.of(World.SERVICE));
    for (int i = 0; i < RUNNERS; i++) {
      boolean grey = World.TROUBLE && i == GREY;
      world.addRunner(
          "i-" + i,
          "z-" + "abcd".charAt(i % 4),
          World.SERVICE,
          6,
          (runner, call, out) -> {
            ran.add(call.id());
            String booking = new String(call.body(), StandardCharsets.ISO_8859_1);
            applied.computeIfAbsent(booking, b -> new AtomicInteger()).incrementAndGet();
            Thread.sleep(85);
            boolean fails = grey && atGrey.getAndIncrement() * FAILED_PERCENT % 100 < FAILED_PERCENT;
            world.note("runner " + runner.id + " ran " + call.id() + " " + booking + (fails ? ", answers 503 without X-Currantslip-Not-Executed" : ""));
            if (fails) {
              fail(call, out);
            } else {
              Runner.ok(call, out, "booked " + booking);
            }
          });
    }
    Node node = world.addNode(1, "z-a");
    world.addNode(2, "z-b");
    world.awaitReady();
    List<Thread> clients = new ArrayList<>();
    Set<String> falsePromises = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < BOOKINGS; i++) {
      String booking = "booking-" + i;
      Node entry = world.nodes.get(i % 2);
      Thread client = new Thread(() -> book(world, entry, booking, ran, falsePromises));
      client.start();
      clients.add(client);
      Thread.sleep(35);
    }
    for (Thread client : clients) {
      client.join(10_000);
    }
    long doubled = applied.values().stream().filter(n -> n.get() > 1).count();
    world.note("bookings=" + BOOKINGS + " answered 429/503/408/421 though they ran=" + falsePromises.size() + " applied twice after the client's allowed retry=" + doubled);
    return node.isAlive() && !falsePromises.isEmpty();
  }

  private static void fail(Runner.Call call, OutputStream out) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Currantslip-Request-Id", call.id());
    headers.put("X-Currantslip-Response-Seal", "seal." + call.id());
    headers.put("X-Currantslip-Server-Load", "1,0,6");
    Runner.answer(out, 503, headers, "commit done, reply step failed".getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Books as the pages say: one retry, on a new channel with an id of its own, only after a promise. */
  private static void book(World world, Node node, String booking, Set<String> ran, Set<String> falsePromises) {
    for (int attempt = 1; attempt <= 2; attempt++) {
      String id = world.nextId();
      byte[] body = booking.getBytes(StandardCharsets.ISO_8859_1);
      Client.Answer answer;
      try (Socket socket = Client.open(node.host, node.front, 5_000)) {
        answer = Client.send(socket, World.head("POST", "/bookings/new", id, 4_000, "Content-Length: " + body.length + "\r\n"), body, body.length, 0);
      } catch (IOException e) {
        answer = Client.Answer.none(-1, e.toString());
      }
      boolean promise = List.of(429, 503, 408, 421).contains(answer.status());
      world.note("client sent " + id + " " + booking + " attempt " + attempt + " to " + node.name + ", answered " + answer.status() + (promise && ran.contains(id) ? " although it ran" : ""));
      if (promise && ran.contains(id)) {
        falsePromises.add(id);
      }
      if (!promise) {
        return;
      }
    }
  }
}
