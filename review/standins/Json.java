import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers as text, booleans and null. */
final class Json {
  /** A number, kept as it was written. */
  record Num(String text) {}

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object read(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(Object value) {
    return value instanceof Map ? (Map<String, Object>) value : Map.of();
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      for (space(); text.charAt(at) != '}'; space()) {
        if (text.charAt(at) == ',') {
          at++;
          space();
        }
        String key = string();
        space();
        at++;
        map.put(key, value());
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      for (space(); text.charAt(at) != ']'; space()) {
        if (text.charAt(at) == ',') {
          at++;
        }
        list.add(value());
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> new Num(word);
    };
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      char c = text.charAt(at);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char e = text.charAt(++at);
      switch (e) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
          at += 4;
        }
        default -> out.append(e);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      StringBuilder out = new StringBuilder("{");
      map.forEach(
          (k, v) -> out.append(out.length() > 1 ? "," : "").append(quote((String) k)).append(':').append(write(v)));
      return out.append('}').toString();
    }
    if (value instanceof List<?> list) {
      StringBuilder out = new StringBuilder("[");
      list.forEach(v -> out.append(out.length() > 1 ? "," : "").append(write(v)));
      return out.append(']').toString();
    }
    if (value instanceof String s) {
      return quote(s);
    }
    return value instanceof Num n ? n.text() : String.valueOf(value);
  }

  private static String quote(String s) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : s.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }
}
