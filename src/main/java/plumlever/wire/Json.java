package plumlever.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes JSON, with type-checked access to the fields of a message. Most messages are
 * parsed into trees, frequent messages field by field. Data binding by reflection is not used,
 * because it would slow startup too much on a small share of a processor.
 */
public final class Json {
  /** The maximum length of a text field, in characters. */
  static final int MAX_TEXT_LENGTH = 200;

  private static final double MAX_AMOUNT = 1e9;
  private static final int MAX_DEPTH = 64;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** Returns a new, empty JSON object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Parses one JSON object; duplicate fields and trailing content are errors. */
  public static ObjectNode parseObject(String text) throws InvalidMessageException {
    return parseObject(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Parses one JSON object; duplicate fields and trailing content are errors.
   *
   * @param text the JSON text in UTF-8
   */
  public static ObjectNode parseObject(byte[] text) throws InvalidMessageException {
    JsonNode node;
    try {
      node = MAPPER.readTree(text);
    } catch (IOException e) {
      throw new InvalidMessageException("not JSON");
    }
    if (!(node instanceof ObjectNode object)) {
      throw new InvalidMessageException("not a JSON object");
    }
    return object;
  }

  /** Returns a parser for messages that are read field by field, without building a tree. */
  static JsonParser parser(byte[] text) throws IOException {
    return MAPPER.getFactory().createParser(text);
  }

  /** Returns a generator for messages that are written field by field, without building a tree. */
  static JsonGenerator generator(Writer to) throws IOException {
    return MAPPER.getFactory().createGenerator(to);
  }

  /** Encodes the JSON value as text on one line. */
  public static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("cannot serialize a JSON tree", e);
    }
  }

  /** True if the field is missing or null. */
  public static boolean isAbsent(JsonNode object, String field) {
    JsonNode node = object.get(field);
    return node == null || node.isNull();
  }

  /** The value of a required text field that is neither empty nor too long. */
  public static String text(JsonNode object, String field) throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (node == null
        || !node.isTextual()
        || node.textValue().isEmpty()
        || node.textValue().length() > MAX_TEXT_LENGTH) {
      throw new InvalidMessageException(
          field + " must be a text of 1 to " + MAX_TEXT_LENGTH + " characters");
    }
    return node.textValue();
  }

  /** The value of an optional text field; null if the field is missing or null. */
  public static String textOrNull(JsonNode object, String field) throws InvalidMessageException {
    return isAbsent(object, field) ? null : text(object, field);
  }

  /** The value of a required boolean field. */
  public static boolean flag(JsonNode object, String field) throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (node == null || !node.isBoolean()) {
      throw new InvalidMessageException(field + " must be true or false");
    }
    return node.booleanValue();
  }

  /** The value of a required numeric field that is finite, at least {@code min} and at most 1e9. */
  public static double amount(JsonNode object, String field, double min)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (node == null || !node.isNumber()) {
      throw new InvalidMessageException(field + " must be a number");
    }
    double value = node.doubleValue();
    if (!isInRange(value, min)) {
      throw new InvalidMessageException(field + " is out of range");
    }
    return value;
  }

  /** True if the number is finite, at least {@code min} and at most 1e9. */
  static boolean isInRange(double value, double min) {
    return Double.isFinite(value) && value >= min && value <= MAX_AMOUNT;
  }

  /** The value of a required integer field within these bounds, both inclusive. */
  public static long wholeNumber(JsonNode object, String field, long min, long max)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (node == null
        || !node.isIntegralNumber()
        || !node.canConvertToLong()
        || node.longValue() < min
        || node.longValue() > max) {
      throw new InvalidMessageException(
          field + " must be a whole number from " + min + " to " + max);
    }
    return node.longValue();
  }
}
