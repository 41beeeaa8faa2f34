package plumlever.drill;

import java.util.HashMap;
import java.util.Map;

/** The query parameters of a request target. */
record Query(Map<String, String> parameters) {
  static Query of(String target) {
    Map<String, String> parameters = new HashMap<>();
    for (String parameter : target.substring(target.indexOf('?') + 1).split("&")) {
      int equals = parameter.indexOf('=');
      if (equals > 0) {
        parameters.put(parameter.substring(0, equals), parameter.substring(equals + 1));
      }
    }
    return new Query(parameters);
  }

  String text(String name) {
    return parameters.getOrDefault(name, "");
  }

  long number(String name, long defaultValue) {
    String text = text(name);
    return text.isEmpty() ? defaultValue : Long.parseLong(text);
  }
}
