package org.currantslip.core.common;

/** Source of time in milliseconds since the Unix epoch. */
@FunctionalInterface
public interface Clock {
  /** Returns the current time in milliseconds since the Unix epoch. */
  long nowMs();
}
