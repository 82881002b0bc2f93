package org.currantslip.adapter.http;

import java.io.Closeable;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/** Tells which tasks of a selector may run on the selector's own thread. */
public final class SelectorTasks {
  private SelectorTasks() {}

  /**
   * Returns whether a task that a selector hands over may run at once. This is so for the set-up of
   * a connection, which does not block; handing it over costs two wake-ups of threads.
   *
   * <p>The selector's loop, which is handed over while the manager starts, and the closing of a
   * connection, which other threads ask for while they hold locks, need a thread of their own.
   */
  public static boolean mayRunAtOnce(SelectorManager manager, Runnable task) {
    boolean closing =
        task instanceof Closeable && !(task instanceof ManagedSelector.SelectorUpdate);
    return manager.isStarted() && !closing;
  }
}
