package org.currantslip.core.allowance;

/** Divides the request limit of an endpoint among the nodes. */
public interface SenderShares {
  /** Returns the requests a second of this node; zero if it must leave the endpoint to others. */
  double shareOf(String endpointId, double limitPerS);

  /** Returns whether some nodes have no share of such a limit. */
  boolean isLeftToFew(double limitPerS);

  /** Returns the shares of a node that is the only one. */
  static SenderShares all() {
    return new SenderShares() {
      @Override
      public double shareOf(String endpointId, double limitPerS) {
        return limitPerS;
      }

      @Override
      public boolean isLeftToFew(double limitPerS) {
        return false;
      }
    };
  }
}
