package org.currantslip.core.limits;

import java.util.concurrent.CompletableFuture;

/** A request in the admission queue. */
record QueuedRequest(AdmissionQuery query, CompletableFuture<Permit> future) {}
