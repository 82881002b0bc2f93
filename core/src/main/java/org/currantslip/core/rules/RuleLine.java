package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.currantslip.core.common.ResultCode;

/** One rule line split into verb, fields and the requester named in its comment. */
record RuleLine(int number, String text, Word verb, ImmutableList<Field> fields, String askedBy) {
  private static final Pattern COMMENT_START = Pattern.compile("(?:^|\\s)#");
  private static final Pattern REQUESTER_COMMENT =
      Pattern.compile("\\s*([^:\\s][^:]*?)\\s*:\\s*\\S.*");
  private static final Pattern WORD = Pattern.compile("\\S+");
  private static final Pattern FIELD = Pattern.compile("([a-z_]+)=(.+)");

  /** A word and its column, starting at 1. */
  record Word(int column, String text) {}

  /** A {@code key=value} pair and the column of its key. */
  record Field(int column, String key, String value) {
    int valueColumn() {
      return column + key.length() + 1;
    }
  }

  /** Splits a line for which {@link #isBlank} is false. */
  static RuleLine split(int number, String text, ProblemList problems) {
    Matcher comment = COMMENT_START.matcher(text);
    boolean hasComment = comment.find();
    String body = hasComment ? text.substring(0, comment.start()) : text;
    String askedBy = "";
    if (hasComment) {
      Matcher requester = REQUESTER_COMMENT.matcher(text.substring(comment.end()));
      askedBy = requester.matches() ? requester.group(1) : "";
    }
    if (askedBy.isEmpty()) {
      problems.add(
          number,
          body.stripTrailing().length() + 1,
          ResultCode.RULE_COMMENT_MISSING,
          "a rule needs a comment that names who asked for it, such as: # ANA: why");
    }
    Word verb = new Word(1, "");
    ImmutableList.Builder<Field> fields = ImmutableList.builder();
    Matcher word = WORD.matcher(body);
    while (word.find()) {
      int column = word.start() + 1;
      Matcher field = FIELD.matcher(word.group());
      if (verb.text().isEmpty()) {
        verb = new Word(column, word.group());
      } else if (field.matches()) {
        fields.add(new Field(column, field.group(1), field.group(2)));
      } else {
        problems.add(
            number, column, ResultCode.RULE_SYNTAX, "expected key=value, found " + word.group());
      }
    }
    return new RuleLine(number, text, verb, fields.build(), askedBy);
  }

  /** Returns whether a line contains no rule. */
  static boolean isBlank(String text) {
    String stripped = text.strip();
    return stripped.isEmpty() || stripped.startsWith("#");
  }

  Rule.Origin origin() {
    return new Rule.Origin(number, text, askedBy);
  }
}
