package org.currantslip.adapter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.Streams;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.Constraint;
import org.currantslip.schema.Options;
import org.jspecify.annotations.Nullable;

/** Fills a message from a parsed file according to its descriptor, and collects all problems. */
final class SettingsReader {
  private final List<SettingsProblem> problems;

  private SettingsReader(List<SettingsProblem> problems) {
    this.problems = problems;
  }

  static SettingsReader create(List<SettingsProblem> problems) {
    return new SettingsReader(problems);
  }

  /** Reads one table into a message; absent keys get their default values. */
  void read(String prefix, JsonNode table, Message.Builder builder) {
    List<FieldDescriptor> fields = builder.getDescriptorForType().getFields();
    Set<String> known = fields.stream().map(FieldDescriptor::getName).collect(Collectors.toSet());
    Streams.stream(table.fieldNames())
        .filter(key -> !known.contains(key))
        .forEach(
            key ->
                problem(
                    prefix + key,
                    ResultCode.SETTING_UNKNOWN,
                    "unknown key" + suggestion(key, known)));
    fields.forEach(
        field -> readField(prefix + field.getName(), table.get(field.getName()), field, builder));
  }

  private static String suggestion(String key, Set<String> known) {
    return known.stream()
        .filter(candidate -> candidate.startsWith(key + "_") || sameStem(candidate, key))
        .findFirst()
        .map(candidate -> "; did you mean " + candidate + "?")
        .orElse("");
  }

  private static boolean sameStem(String known, String key) {
    int knownEnd = known.lastIndexOf('_');
    int keyEnd = key.lastIndexOf('_');
    return knownEnd > 0
        && keyEnd > 0
        && known.substring(0, knownEnd).equals(key.substring(0, keyEnd));
  }

  private void readField(
      String key, @Nullable JsonNode value, FieldDescriptor field, Message.Builder builder) {
    Constraint constraint = field.getOptions().getExtension(Options.constraint);
    if (field.isRepeated()) {
      readList(key, value, field, constraint, builder);
    } else if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
      readTable(key, value, field, constraint, builder);
    } else if (value != null) {
      Object parsed = scalar(key, value, field, constraint);
      if (parsed != null) {
        builder.setField(field, parsed);
      }
    } else if (constraint.getRequired()) {
      problem(key, ResultCode.SETTING_MISSING, "must be given");
    } else if (!constraint.getFallback().isEmpty()) {
      builder.setField(field, defaultValue(field, constraint.getFallback()));
    }
  }

  private void readTable(
      String key,
      @Nullable JsonNode value,
      FieldDescriptor field,
      Constraint constraint,
      Message.Builder builder) {
    if (value == null && constraint.getRequired()) {
      problem(key, ResultCode.SETTING_MISSING, "table [" + key + "] must be given");
    } else if (value != null && !value.isObject()) {
      problem(key, ResultCode.SETTING_TYPE, "must be a table, not " + describe(value));
    } else {
      Message.Builder nested = builder.newBuilderForField(field);
      read(key + ".", value == null ? JsonNodeFactory.instance.objectNode() : value, nested);
      builder.setField(field, nested.build());
    }
  }

  private void readList(
      String key,
      @Nullable JsonNode value,
      FieldDescriptor field,
      Constraint constraint,
      Message.Builder builder) {
    if (value == null) {
      if (constraint.getRequired()) {
        problem(key, ResultCode.SETTING_MISSING, "must be given");
      }
      return;
    }
    if (!value.isArray()) {
      problem(key, ResultCode.SETTING_TYPE, "must be a list, not " + describe(value));
      return;
    }
    checkRange(key, value.size(), "entries", constraint);
    for (int i = 0; i < value.size(); i++) {
      readItem(key + "[" + i + "]", value.get(i), field, builder);
    }
  }

  private void readItem(
      String key, JsonNode value, FieldDescriptor field, Message.Builder builder) {
    if (field.getJavaType() != FieldDescriptor.JavaType.MESSAGE) {
      Object parsed = scalar(key, value, field, Constraint.getDefaultInstance());
      if (parsed != null) {
        builder.addRepeatedField(field, parsed);
      }
    } else if (!value.isObject()) {
      problem(key, ResultCode.SETTING_TYPE, "must be a table, not " + describe(value));
    } else {
      Message.Builder nested = builder.newBuilderForField(field);
      read(key + ".", value, nested);
      builder.addRepeatedField(field, nested.build());
    }
  }

  private @Nullable Object scalar(
      String key, JsonNode value, FieldDescriptor field, Constraint constraint) {
    return switch (field.getJavaType()) {
      case STRING -> text(key, value, constraint);
      case INT -> toUnsignedInt(integer(key, value, constraint));
      case LONG -> integer(key, value, constraint);
      case DOUBLE -> fraction(key, value, constraint);
      default -> throw new IllegalStateException("settings have no fields like " + field);
    };
  }

  /** Returns the low 32 bits, which represent the value in an unsigned field. */
  private static @Nullable Integer toUnsignedInt(@Nullable Long number) {
    return number == null ? null : Integer.valueOf(number.intValue());
  }

  private @Nullable String text(String key, JsonNode value, Constraint constraint) {
    if (!value.isTextual()) {
      problem(key, ResultCode.SETTING_TYPE, "must be a string, not " + describe(value));
      return null;
    }
    String text = value.textValue();
    boolean inRange = checkRange(key, text.length(), "characters", constraint);
    if (!constraint.getPattern().isEmpty() && !text.matches(constraint.getPattern())) {
      problem(key, ResultCode.SETTING_PATTERN, "must match " + constraint.getPattern());
      return null;
    }
    return inRange ? text : null;
  }

  private @Nullable Long integer(String key, JsonNode value, Constraint constraint) {
    if (!value.isIntegralNumber()) {
      String unit = constraint.getUnit().isEmpty() ? "" : " in " + constraint.getUnit();
      problem(
          key,
          ResultCode.SETTING_TYPE,
          "must be a whole number" + unit + ", not " + describe(value));
      return null;
    }
    if (!value.canConvertToLong()) {
      problem(key, ResultCode.SETTING_OUT_OF_RANGE, "is too large: " + describe(value));
      return null;
    }
    return checkRange(key, value.longValue(), constraint.getUnit(), constraint)
        ? value.longValue()
        : null;
  }

  private @Nullable Double fraction(String key, JsonNode value, Constraint constraint) {
    if (!value.isNumber()) {
      problem(key, ResultCode.SETTING_TYPE, "must be a number, not " + describe(value));
      return null;
    }
    double number = value.doubleValue();
    // Bounds are integers, so a fraction is in range if its floor and its ceiling both are.
    boolean inRange =
        checkRange(key, (long) Math.floor(number), constraint.getUnit(), constraint)
            && checkRange(key, (long) Math.ceil(number), constraint.getUnit(), constraint);
    return inRange ? number : null;
  }

  private boolean checkRange(String key, long number, String unit, Constraint constraint) {
    if (constraint.hasMin() && number < constraint.getMin()) {
      problem(
          key,
          ResultCode.SETTING_OUT_OF_RANGE,
          boundMessage("at least", constraint.getMin(), unit));
      return false;
    }
    if (constraint.hasMax() && number > constraint.getMax()) {
      problem(
          key, ResultCode.SETTING_OUT_OF_RANGE, boundMessage("at most", constraint.getMax(), unit));
      return false;
    }
    return true;
  }

  private static String boundMessage(String comparison, long limit, String unit) {
    return ("must be " + comparison + " " + limit + " " + unit).strip();
  }

  private static Object defaultValue(FieldDescriptor field, String text) {
    return switch (field.getJavaType()) {
      case STRING -> text;
      case INT -> Integer.parseUnsignedInt(text);
      case LONG -> Long.parseLong(text);
      case DOUBLE -> Double.parseDouble(text);
      default -> throw new IllegalStateException("settings have no fields like " + field);
    };
  }

  /** Describes a string only by its type, as it may be a secret under the wrong key. */
  private static String describe(JsonNode value) {
    return switch (value.getNodeType()) {
      case STRING -> "a string";
      case NUMBER -> "the number " + value.asText();
      case BOOLEAN -> "a boolean";
      case ARRAY -> "a list";
      case OBJECT, POJO -> "a table or a date";
      default -> "nothing";
    };
  }

  private void problem(String key, ResultCode code, String reason) {
    problems.add(new SettingsProblem(key, code, reason));
  }
}
