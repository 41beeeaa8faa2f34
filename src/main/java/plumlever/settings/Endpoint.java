package plumlever.settings;

/** An address and port. */
public record Endpoint(String host, int port) {
    /** Null if the text is not {@code ADDRESS:PORT}. */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return null;
        }
        try {
            int port = Integer.parseInt(text, colon + 1, text.length(), 10);
            return port < 0 || port > 65535 ? null : new Endpoint(text.substring(0, colon), port);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
