package plumlever.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/**
 * A user's request that is forwarded to a controller of another shard, which responds to it.
 *
 * @param method the HTTP method of the request
 * @param path the path of the request
 * @param body the body of the request; may be empty
 */
public record ForwardedRequest(String method, String path, String body) {
  /** The path at which controllers accept forwarded requests. */
  public static final String PATH = "/forward";

  private static final String METHOD_FIELD = "method";
  private static final String PATH_FIELD = "path";
  private static final String BODY_FIELD = "body";

  /** Encodes the forwarded request as JSON in UTF-8. */
  public byte[] write() {
    ObjectNode object =
        Json.object().put(METHOD_FIELD, method).put(PATH_FIELD, path).put(BODY_FIELD, body);
    return Json.write(object).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes a forwarded request.
   *
   * @param sent the message body: JSON in UTF-8
   */
  public static ForwardedRequest parse(byte[] sent) throws InvalidMessageException {
    ObjectNode object = Json.parseObject(sent);
    if (!object.path(BODY_FIELD).isTextual()) {
      throw new InvalidMessageException(BODY_FIELD + " is missing");
    }
    return new ForwardedRequest(
        Json.text(object, METHOD_FIELD),
        Json.text(object, PATH_FIELD),
        object.get(BODY_FIELD).textValue());
  }
}
