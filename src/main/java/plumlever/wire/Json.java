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
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Reading and writing of JSON, and strict access to the fields of a message. Trees are used, and
 * field by field for what comes by the hundred; binding by reflection would cost more start-up time
 * than the processor share allows.
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(64).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  static final int MAX_TEXT_LENGTH = 200;
  private static final double MAX_AMOUNT = 1e9;

  private Json() {}

  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  public static ObjectNode parseObject(String text) throws InvalidMessageException {
    return parseObject(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * @param text UTF-8
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

  /**
   * For messages that come or go by the hundred: read or written field by field, without a tree.
   */
  static JsonParser parser(byte[] text) throws IOException {
    return MAPPER.getFactory().createParser(text);
  }

  static JsonGenerator generator(Writer to) throws IOException {
    return MAPPER.getFactory().createGenerator(to);
  }

  /** The value as text, on one line. */
  public static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of plain values could not be written", e);
    }
  }

  public static boolean absent(JsonNode object, String field) {
    JsonNode node = object.get(field);
    return node == null || node.isNull();
  }

  /** A field that must be a text that is not empty. */
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

  public static String textOrNull(JsonNode object, String field) throws InvalidMessageException {
    return absent(object, field) ? null : text(object, field);
  }

  /** A field that must be true or false. */
  public static boolean flag(JsonNode object, String field) throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (node == null || !node.isBoolean()) {
      throw new InvalidMessageException(field + " must be true or false");
    }
    return node.booleanValue();
  }

  /** A finite amount of at least {@code min}. */
  public static double amount(JsonNode object, String field, double min)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (node == null || !node.isNumber()) {
      throw new InvalidMessageException(field + " must be a number");
    }
    double value = node.doubleValue();
    if (!inRange(value, min)) {
      throw new InvalidMessageException(field + " is out of range");
    }
    return value;
  }

  static boolean inRange(double value, double min) {
    return Double.isFinite(value) && value >= min && value <= MAX_AMOUNT;
  }

  /** A field that must be a whole number within these bounds. */
  public static long whole(JsonNode object, String field, long min, long max)
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
