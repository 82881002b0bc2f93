package org.currantslip.core.rules;

import java.math.BigDecimal;
import java.util.Locale;
import java.util.regex.Pattern;

/** Syntax and range of a field value. */
enum FieldKind {
  NAME("a name of letters, digits, '.', '_' and '-'", "[A-Za-z0-9][A-Za-z0-9._-]{0,127}"),
  NAME_OR_ANY("a name or *", "\\*|[A-Za-z0-9][A-Za-z0-9._-]{0,127}"),
  METHOD("an HTTP method or *", "\\*|[A-Z]{3,10}"),
  PATH("a path that starts with /", "/[!-~&&[^#]]{0,255}"),
  SHARE("a share such as 5% or 0.05", "[0-9]{1,3}(\\.[0-9]{1,6})?%|[01](\\.[0-9]{1,8})?", 0, 1),
  STAGE("a whole number", "[0-9]{1,9}", 1, 100),
  ORDER("a whole number", "[0-9]{1,9}", 1, 100),
  COUNT("a whole number", "[0-9]{1,10}", 0, Integer.MAX_VALUE),
  MICROS("a whole number", "[0-9]{1,15}", 0, 1_000_000_000_000L),
  LATENCY_MS("a whole number of milliseconds", "[0-9]{1,9}", 1, 3_600_000),
  RATE("a number", "[0-9]{1,12}(\\.[0-9]{1,6})?", 0, 1_000_000_000_000L),
  BURST_S("a number of seconds", "[0-9]{1,6}(\\.[0-9]{1,6})?", 0, 3600);

  private final String description;
  private final Pattern pattern;
  private final boolean numeric;
  private final double min;
  private final double max;

  FieldKind(String description, String pattern) {
    this(description, pattern, false, 0, 0);
  }

  FieldKind(String description, String pattern, double min, double max) {
    this(description, pattern, true, min, max);
  }

  FieldKind(String description, String pattern, boolean numeric, double min, double max) {
    this.description = description;
    this.pattern = Pattern.compile(pattern);
    this.numeric = numeric;
    this.min = min;
    this.max = max;
  }

  String description() {
    return description;
  }

  boolean isWellFormed(String value) {
    return pattern.matcher(value).matches();
  }

  boolean isInRange(String value) {
    if (!numeric) {
      return true;
    }
    double number = parseNumber(value);
    boolean isAboveMin =
        this == SHARE || this == RATE || this == BURST_S ? number > min : number >= min;
    return isAboveMin && number <= max;
  }

  String rangeDescription() {
    boolean isMinExclusive = this == SHARE || this == RATE || this == BURST_S;
    return String.format(
        Locale.ROOT, "%s %.0f and at most %.0f", isMinExclusive ? "above" : "at least", min, max);
  }

  /** Parses a number or percentage; uses decimal arithmetic so that 99.9% is exactly 0.999. */
  static double parseNumber(String value) {
    return value.endsWith("%")
        ? new BigDecimal(value.substring(0, value.length() - 1)).movePointLeft(2).doubleValue()
        : Double.parseDouble(value);
  }
}
