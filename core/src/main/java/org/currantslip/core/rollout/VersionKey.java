package org.currantslip.core.rollout;

/** A version of a model. */
record VersionKey(String model, String version) {
  @Override
  public String toString() {
    return model + "/" + version;
  }
}
