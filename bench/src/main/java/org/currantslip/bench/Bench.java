package org.currantslip.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** A reproducible experiment whose random choices derive from a seed. */
public interface Bench {
  /** Returns the name that selects the experiment on the command line. */
  String name();

  /**
   * Runs the experiment once and returns its result tables.
   *
   * @param seed seed of all random choices; equal seeds give equal simulated results
   * @param outDir directory for additional output files such as charts
   */
  List<ResultTable> run(long seed, Path outDir) throws IOException;
}
