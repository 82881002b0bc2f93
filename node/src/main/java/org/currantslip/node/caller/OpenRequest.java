package org.currantslip.node.caller;

/** A request that has no complete response yet, as far as the log needs it. */
final class OpenRequest {
  private final long arrivedMs;
  private final long configVersion;
  private volatile String id;

  private OpenRequest(String id, long arrivedMs, long configVersion) {
    this.id = id;
    this.arrivedMs = arrivedMs;
    this.configVersion = configVersion;
  }

  static OpenRequest create(String id, long arrivedMs, long configVersion) {
    return new OpenRequest(id, arrivedMs, configVersion);
  }

  /** Replaces the id of this node by the one that the caller gave. */
  void setId(String callerId) {
    id = callerId;
  }

  String id() {
    return id;
  }

  long arrivedMs() {
    return arrivedMs;
  }

  /** Returns the version of the configuration that was in force when the request arrived. */
  long configVersion() {
    return configVersion;
  }
}
