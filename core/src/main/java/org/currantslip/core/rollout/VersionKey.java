package org.currantslip.core.rollout;

/** Identifies a version of a model. */
record VersionKey(String model, String version) {
  @Override
  public String toString() {
    return model + "/" + version;
  }
}
