package calicovale.protocols.http;

import java.nio.charset.StandardCharsets;

/**
 * A request and its response. A response after the client has closed the connection is dropped. All methods must be
 * called on the loop's thread.
 */
public final class Exchange {
    private static final byte[] NO_CONTENT = new byte[0];
    private final HttpServer.ClientConnection client;
    private final HttpHead head;
    private final byte[] body;
    private boolean answered;
    private boolean clientClosed;
    private Runnable onClientClosed;

    Exchange(HttpServer.ClientConnection client, HttpHead head, byte[] body) {
        this.client = client;
        this.head = head;
        this.body = body;
    }

    /** Returns the head of the request. */
    public HttpHead head() {
        return head;
    }

    /** Returns the whole body of the request; empty if it has none. */
    public byte[] body() {
        return body;
    }

    /** Returns whether the response has been sent or begun. */
    public boolean answered() {
        return answered;
    }

    /** Returns whether the client closed the connection before the response was complete. */
    public boolean clientClosed() {
        return clientClosed;
    }

    /** Returns the connection of this exchange, for handlers that reset or observe it. */
    public calicovale.protocols.net.Connection connection() {
        return client.connection();
    }

    /**
     * Sets an action that runs if the client closes the connection before the response is complete. It runs at once if
     * that has already happened.
     */
    public void onClientClosed(Runnable action) {
        onClientClosed = action;
        if (clientClosed) {
            action.run();
        }
    }

    void notifyClientClosed() {
        if (!clientClosed) {
            clientClosed = true;
            if (onClientClosed != null) {
                onClientClosed.run();
            }
        }
    }

    /**
     * Sends the response.
     *
     * @return false if the client has closed the connection and nothing was written, or if the write failed
     * @throws IllegalStateException if a response has already been sent or begun
     */
    public boolean respond(int status, Headers headers, byte[] content) {
        begin();
        return !clientClosed
                && client.respond(status, headers, content, head.method().equals("HEAD"));
    }

    /** Sends a response with text as UTF-8. */
    public boolean respond(int status, String type, String text) {
        return respond(status, new Headers().add("Content-Type", type), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a response without content. */
    public boolean respond(int status) {
        return respond(status, new Headers(), NO_CONTENT);
    }

    /**
     * Sends a response with problem details (RFC 9457). {@code detail} may be null. {@code moreMembers} is empty or has
     * further JSON members, each preceded by a comma.
     */
    public boolean problem(int status, Headers headers, String title, String detail, String moreMembers) {
        String json = "{\"title\":" + quote(title) + ",\"status\":" + status
                + (detail == null ? "" : ",\"detail\":" + quote(detail)) + moreMembers + "}";
        return respond(
                status, headers.add("Content-Type", "application/problem+json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a response with problem details (RFC 9457). */
    public boolean problem(int status, String title, String detail) {
        return problem(status, new Headers(), title, detail, "");
    }

    /** Begins a response with a chunked body; returns null if the client has closed the connection. */
    public BodyStream stream(int status, Headers headers) {
        begin();
        return clientClosed ? null : client.stream(this, status, headers, -1);
    }

    /** Begins a response with a body of {@code length} bytes; returns null if the client has closed the connection. */
    public BodyStream stream(int status, Headers headers, long length) {
        begin();
        return clientClosed ? null : client.stream(this, status, headers, length);
    }

    private void begin() {
        if (answered) {
            throw new IllegalStateException("response already sent or begun: " + head.method() + " " + head.target());
        }
        answered = true;
    }

    /** Returns a text as a JSON string with quotes. */
    public static String quote(String text) {
        StringBuilder quoted = new StringBuilder(text.length() + 2).append('"');
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ') {
                quoted.append(String.format("\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }
}
