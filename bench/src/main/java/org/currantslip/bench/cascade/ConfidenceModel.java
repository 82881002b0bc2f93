package org.currantslip.bench.cascade;

/** Model of the confidence that an endpoint reports, by how well it predicts a good answer. */
enum ConfidenceModel {
  HONEST(0.05),
  NOISY(0.5),
  OVERCONFIDENT(0.05),
  RANDOM(0),
  INVERTED(0.05);

  private static final double LOGISTIC_SCALE = 0.05;

  private final double noiseFactor;

  ConfidenceModel(double noiseFactor) {
    this.noiseFactor = noiseFactor;
  }

  /**
   * Returns the reported confidence in an answer.
   *
   * @param margin capability of the tier minus the difficulty of the request
   * @param gaussian standard normal sample, scaled by the noise of the model
   * @param uniform sample from [0, 1), reported as it is by the random model
   */
  double confidence(double margin, double gaussian, double uniform) {
    double reported =
        1
            / (1
                + Math.exp(
                    -(margin / LOGISTIC_SCALE + noiseFactor * gaussian / LOGISTIC_SCALE * 0.2)));
    return switch (this) {
      case HONEST, NOISY -> reported;
      case OVERCONFIDENT -> 0.8 + 0.2 * reported;
      case RANDOM -> uniform;
      case INVERTED -> 1 - reported;
    };
  }
}
