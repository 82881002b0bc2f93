package review2;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadFactory;

/** Small helpers: members of a JSON object as text, and thread factories. */
public final class Text {
  private Text() {}

  public static ThreadFactory daemon(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  public static String quote(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  public static String unquote(String json) {
    return json.substring(1, json.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
  }

  /** Returns the members of a JSON object, each as its JSON text. */
  public static Map<String, String> members(String json) {
    Map<String, String> members = new LinkedHashMap<>();
    int at = json.indexOf('{') + 1;
    while (true) {
      at = skipSpace(json, at);
      if (json.charAt(at) == '}') {
        return members;
      }
      if (json.charAt(at) == ',') {
        at = skipSpace(json, at + 1);
      }
      int nameEnd = valueEnd(json, at);
      String name = unquote(json.substring(at, nameEnd));
      int start = skipSpace(json, skipSpace(json, nameEnd) + 1);
      at = valueEnd(json, start);
      members.put(name, json.substring(start, at));
    }
  }

  private static int skipSpace(String json, int from) {
    int at = from;
    while (Character.isWhitespace(json.charAt(at))) {
      at++;
    }
    return at;
  }

  private static int valueEnd(String json, int from) {
    int depth = 0;
    boolean quoted = false;
    for (int at = from; at < json.length(); at++) {
      char c = json.charAt(at);
      if (quoted) {
        if (c == '\\') {
          at++;
        } else if (c == '"') {
          quoted = false;
          if (depth == 0) {
            return at + 1;
          }
        }
      } else if (c == '"') {
        quoted = true;
      } else if (c == '{' || c == '[') {
        depth++;
      } else if (c == '}' || c == ']') {
        if (depth == 0) {
          return at;
        }
        depth--;
        if (depth == 0) {
          return at + 1;
        }
      } else if (depth == 0 && (c == ',' || Character.isWhitespace(c))) {
        return at;
      }
    }
    return json.length();
  }
}
