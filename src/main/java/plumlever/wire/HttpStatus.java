package plumlever.wire;

/** The HTTP status codes that the protocol uses. */
public final class HttpStatus {
  public static final int OK = 200;
  public static final int CREATED = 201;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  public static final int CONFLICT = 409;
  public static final int GONE = 410;
  public static final int PAYLOAD_TOO_LARGE = 413;
  public static final int MISDIRECTED_REQUEST = 421;
  public static final int UNPROCESSABLE = 422;
  public static final int TOO_MANY_REQUESTS = 429;
  public static final int SERVICE_UNAVAILABLE = 503;

  /** The lowest status code of the server errors (5xx). */
  public static final int MIN_SERVER_ERROR = 500;

  private HttpStatus() {}
}
