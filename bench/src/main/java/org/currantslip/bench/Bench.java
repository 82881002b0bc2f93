package org.currantslip.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** One seeded experiment. */
public interface Bench {
  /** Returns the name by which the experiment is started. */
  String name();

  /** Runs the experiment once; the same seed gives the same figures. */
  List<ResultTable> run(long seed, Path outDir) throws IOException;
}
