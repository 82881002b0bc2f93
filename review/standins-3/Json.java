import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON; objects are maps, arrays are lists. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      skip();
      while (text.charAt(at) != '}') {
        String name = string();
        skip();
        at++;
        map.put(name, value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
          skip();
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      skip();
      while (text.charAt(at) != ']') {
        list.add(value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
          skip();
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
    };
  }

  private String string() {
    skip();
    at++;
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        switch (c) {
          case 'n' -> c = '\n';
          case 't' -> c = '\t';
          case 'r' -> c = '\r';
          case 'u' -> {
            c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
            at += 4;
          }
          default -> {
            // The character itself.
          }
        }
      }
      out.append(c);
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String comma = "";
      for (Map.Entry<?, ?> e : map.entrySet()) {
        out.append(comma).append('"').append(e.getKey()).append("\":");
        write(e.getValue(), out);
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String comma = "";
      for (Object o : list) {
        out.append(comma);
        write(o, out);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String s) {
      out.append('"').append(s.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      out.append(value);
    }
  }
}
