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
 * Reads and writes JSON, with strict access to the fields of a message. Most messages are read as
 * trees, frequent ones field by field; binding by reflection would cost more start-up time than the
 * processor share allows.
 */
public final class Json {
  /** The longest text that a field may hold, in characters. */
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

  /** An empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Reads one JSON object; duplicate fields and anything after it are errors. */
  public static ObjectNode parseObject(String text) throws InvalidMessageException {
    return parseObject(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Reads one JSON object; duplicate fields and anything after it are errors.
   *
   * @param text in UTF-8
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

  /** For frequent messages, which are read field by field without a tree. */
  static JsonParser parser(byte[] text) throws IOException {
    return MAPPER.getFactory().createParser(text);
  }

  /** For frequent messages, which are written field by field without a tree. */
  static JsonGenerator generator(Writer to) throws IOException {
    return MAPPER.getFactory().createGenerator(to);
  }

  /** The value as text, on one line. */
  public static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("a tree of plain values could not be written", e);
    }
  }

  /** True if the field is missing or null. */
  public static boolean absent(JsonNode object, String field) {
    JsonNode node = object.get(field);
    return node == null || node.isNull();
  }

  /** A field that must be a text that is neither empty nor too long. */
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

  /** The same for a field that may be missing or null, which gives null. */
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

  /** A field that must be a finite number of at least {@code min}, and not too large. */
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

  /** True for a finite number of at least {@code min} that is not too large. */
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
