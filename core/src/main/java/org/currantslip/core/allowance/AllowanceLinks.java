package org.currantslip.core.allowance;

import org.currantslip.schema.AllowanceReport;
import org.currantslip.schema.RestrictionReport;

/** What the allowances of a node need of it. */
public interface AllowanceLinks {
  /** Returns the name of this node. */
  String selfName();

  /** Sends a report to a node. */
  void send(String node, AllowanceReport report);

  /** Sends a report to all other nodes. */
  void sendToOthers(AllowanceReport report);

  /** Sends restrictions that endpoints have asked for to all other nodes. */
  void sendToOthers(RestrictionReport report);

  /** Returns how many requests for a service wait at this node. */
  int waiting(String service);

  /** Starts requests that wait, since slots were lent to this node. */
  void onRoom();

  /** Returns the links of a node that is the only one, without waiting requests. */
  static AllowanceLinks none() {
    return new AllowanceLinks() {
      @Override
      public String selfName() {
        return "";
      }

      @Override
      public void send(String node, AllowanceReport report) {}

      @Override
      public void sendToOthers(AllowanceReport report) {}

      @Override
      public void sendToOthers(RestrictionReport report) {}

      @Override
      public int waiting(String service) {
        return 0;
      }

      @Override
      public void onRoom() {}
    };
  }
}
