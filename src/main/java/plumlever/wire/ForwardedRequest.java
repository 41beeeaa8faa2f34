package plumlever.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/**
 * A user's request that a controller of another shard is to answer.
 *
 * @param method of the request
 * @param path of the request
 * @param body of the request; may be empty
 */
public record ForwardedRequest(String method, String path, String body) {
  /** The path at which controllers take such requests. */
  public static final String PATH = "/forward";

  private static final String METHOD = "method";
  private static final String TARGET = "path";
  private static final String BODY = "body";

  /** The body in which it is sent: JSON in UTF-8. */
  public byte[] write() {
    ObjectNode object = Json.object().put(METHOD, method).put(TARGET, path).put(BODY, body);
    return Json.write(object).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads the body in which it was sent.
   *
   * @param sent JSON in UTF-8
   */
  public static ForwardedRequest parse(byte[] sent) throws InvalidMessageException {
    ObjectNode object = Json.parseObject(sent);
    if (!object.path(BODY).isTextual()) {
      throw new InvalidMessageException(BODY + " is missing");
    }
    return new ForwardedRequest(
        Json.text(object, METHOD), Json.text(object, TARGET), object.get(BODY).textValue());
  }
}
