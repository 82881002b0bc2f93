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

/** Walks a message's descriptor beside a parsed file, and collects problems. */
final class SettingsReader {
  private final List<SettingsProblem> problems;

  private SettingsReader(List<SettingsProblem> problems) {
    this.problems = problems;
  }

  static SettingsReader create(List<SettingsProblem> problems) {
    return new SettingsReader(problems);
  }

  /** Reads one table into a message; keys that are absent get their defaults. */
  void read(String prefix, JsonNode table, Message.Builder builder) {
    List<FieldDescriptor> fields = builder.getDescriptorForType().getFields();
    Set<String> known = fields.stream().map(FieldDescriptor::getName).collect(Collectors.toSet());
    Streams.stream(table.fieldNames())
        .filter(k -> !known.contains(k))
        .forEach(
            k ->
                problem(
                    prefix + k, ResultCode.SETTING_UNKNOWN, "unknown key" + unitHint(k, known)));
    fields.forEach(f -> readField(prefix + f.getName(), table.get(f.getName()), f, builder));
  }

  private static String unitHint(String key, Set<String> known) {
    return known.stream()
        .filter(k -> k.startsWith(key + "_") || sameStem(k, key))
        .findFirst()
        .map(k -> "; did you mean " + k + "?")
        .orElse("");
  }

  private static boolean sameStem(String known, String key) {
    int cut = known.lastIndexOf('_');
    int keyCut = key.lastIndexOf('_');
    return cut > 0 && keyCut > 0 && known.substring(0, cut).equals(key.substring(0, keyCut));
  }

  private void readField(
      String key, @Nullable JsonNode value, FieldDescriptor field, Message.Builder builder) {
    Constraint constraint = field.getOptions().getExtension(Options.constraint);
    if (field.isRepeated()) {
      readList(key, value, field, constraint, builder);
    } else if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
      readTable(key, value, field, constraint, builder);
    } else if (value != null) {
      Object read = scalar(key, value, field, constraint);
      if (read != null) {
        builder.setField(field, read);
      }
    } else if (constraint.getRequired()) {
      problem(key, ResultCode.SETTING_MISSING, "must be given");
    } else if (!constraint.getFallback().isEmpty()) {
      builder.setField(field, fallback(field, constraint.getFallback()));
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
      Object read = scalar(key, value, field, Constraint.getDefaultInstance());
      if (read != null) {
        builder.addRepeatedField(field, read);
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
      case INT -> narrow(integer(key, value, constraint));
      case LONG -> integer(key, value, constraint);
      case DOUBLE -> fraction(key, value, constraint);
      default -> throw new IllegalStateException("settings have no fields like " + field);
    };
  }

  /** Keeps the low 32 bits: the fields are unsigned. */
  private static @Nullable Integer narrow(@Nullable Long number) {
    return number == null ? null : Integer.valueOf(number.intValue());
  }

  private @Nullable String text(String key, JsonNode value, Constraint constraint) {
    if (!value.isTextual()) {
      problem(key, ResultCode.SETTING_TYPE, "must be a string, not " + describe(value));
      return null;
    }
    String text = value.textValue();
    boolean ok = checkRange(key, text.length(), "characters", constraint);
    if (!constraint.getPattern().isEmpty() && !text.matches(constraint.getPattern())) {
      problem(key, ResultCode.SETTING_PATTERN, "must match " + constraint.getPattern());
      return null;
    }
    return ok ? text : null;
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
    // Bounds are whole numbers, so that a fraction is within them if both its neighbours are.
    boolean ok =
        checkRange(key, (long) Math.floor(number), constraint.getUnit(), constraint)
            && checkRange(key, (long) Math.ceil(number), constraint.getUnit(), constraint);
    return ok ? number : null;
  }

  private boolean checkRange(String key, long number, String unit, Constraint constraint) {
    if (constraint.hasMin() && number < constraint.getMin()) {
      problem(key, ResultCode.SETTING_OUT_OF_RANGE, bound("at least", constraint.getMin(), unit));
      return false;
    }
    if (constraint.hasMax() && number > constraint.getMax()) {
      problem(key, ResultCode.SETTING_OUT_OF_RANGE, bound("at most", constraint.getMax(), unit));
      return false;
    }
    return true;
  }

  private static String bound(String word, long limit, String unit) {
    return ("must be " + word + " " + limit + " " + unit).strip();
  }

  private static Object fallback(FieldDescriptor field, String text) {
    return switch (field.getJavaType()) {
      case STRING -> text;
      case INT -> Integer.parseUnsignedInt(text);
      case LONG -> Long.parseLong(text);
      case DOUBLE -> Double.parseDouble(text);
      default -> throw new IllegalStateException("settings have no fields like " + field);
    };
  }

  /** Names a value by its kind alone: it may be a secret in the wrong place. */
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
