package org.currantslip.adapter.engine;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.EndpointRecord;

/** Sends commands to model engines. */
public interface EngineCommandSender {
  /** Sends a command. Failures are reported as an {@link CommandResult}; the future never fails. */
  CompletableFuture<CommandResult> send(EndpointRecord engine, EngineCommand command);
}
