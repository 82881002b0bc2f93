package org.currantslip.core.limits;

import java.util.concurrent.CompletableFuture;

/** A request that waits for a place. */
record Waiting(AdmissionQuery query, CompletableFuture<Permit> future) {}
