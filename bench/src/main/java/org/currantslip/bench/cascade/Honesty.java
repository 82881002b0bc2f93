package org.currantslip.bench.cascade;

/** How well an endpoint's confidence tells whether its answer is good. */
enum Honesty {
  HONEST(0.05),
  NOISY(0.5),
  OVERCONFIDENT(0.05),
  RANDOM(0),
  INVERTED(0.05);

  private static final double SCALE = 0.05;

  private final double noise;

  Honesty(double noise) {
    this.noise = noise;
  }

  /** Returns the confidence in an answer, given by how much the tier exceeds the difficulty. */
  double confidence(double margin, double gaussian, double uniform) {
    double told = 1 / (1 + Math.exp(-(margin / SCALE + noise * gaussian / SCALE * 0.2)));
    return switch (this) {
      case HONEST, NOISY -> told;
      case OVERCONFIDENT -> 0.8 + 0.2 * told;
      case RANDOM -> uniform;
      case INVERTED -> 1 - told;
    };
  }
}
