package plumlever.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Reading and writing of JSON, and strict access to the fields of a message. Only the tree model is
 * used: binding by reflection would cost more start-up time than the processor share allows.
 */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(64).build())
            .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Json() {}

    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    public static ObjectNode parseObject(String text) throws InvalidMessage {
        return parseObject(text.getBytes(StandardCharsets.UTF_8));
    }

    /** @param text UTF-8 */
    public static ObjectNode parseObject(byte[] text) throws InvalidMessage {
        JsonNode node;
        try {
            node = MAPPER.readTree(text);
        } catch (IOException e) {
            throw new InvalidMessage("not JSON");
        }
        if (!(node instanceof ObjectNode object)) {
            throw new InvalidMessage("not a JSON object");
        }
        return object;
    }

    public static String write(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of plain values could not be written", e);
        }
    }

    public static boolean absent(JsonNode object, String field) {
        JsonNode v = object.get(field);
        return v == null || v.isNull();
    }

    public static String text(JsonNode object, String field) throws InvalidMessage {
        JsonNode v = object.get(field);
        if (v == null || !v.isTextual() || v.textValue().isEmpty() || v.textValue().length() > 200) {
            throw new InvalidMessage(field + " must be a text of 1 to 200 characters");
        }
        return v.textValue();
    }

    public static String textOrNull(JsonNode object, String field) throws InvalidMessage {
        return absent(object, field) ? null : text(object, field);
    }

    public static boolean flag(JsonNode object, String field) throws InvalidMessage {
        JsonNode v = object.get(field);
        if (v == null || !v.isBoolean()) {
            throw new InvalidMessage(field + " must be true or false");
        }
        return v.booleanValue();
    }

    /** A finite amount of at least {@code min}. */
    public static double amount(JsonNode object, String field, double min) throws InvalidMessage {
        JsonNode v = object.get(field);
        if (v == null || !v.isNumber()) {
            throw new InvalidMessage(field + " must be a number");
        }
        double d = v.doubleValue();
        if (!Double.isFinite(d) || d < min || d > 1e9) {
            throw new InvalidMessage(field + " is out of range");
        }
        return d;
    }

    public static long whole(JsonNode object, String field, long min, long max) throws InvalidMessage {
        JsonNode v = object.get(field);
        if (v == null || !v.isIntegralNumber() || !v.canConvertToLong() || v.longValue() < min || v.longValue() > max) {
            throw new InvalidMessage(field + " must be a whole number from " + min + " to " + max);
        }
        return v.longValue();
    }
}
