package calicovale.protocols.http;

import java.nio.charset.StandardCharsets;

/** Owns one request and its one answer, on the loop's thread; an answer after the peer has left is dropped. */
public final class Exchange {
    private static final byte[] NONE = new byte[0];
    private final HttpServer.Peer peer;
    private final HttpHead head;
    private final byte[] body;
    private boolean answered;
    private boolean gone;
    private Runnable onGone;

    Exchange(HttpServer.Peer peer, HttpHead head, byte[] body) {
        this.peer = peer;
        this.head = head;
        this.body = body;
    }

    /** The request's head. */
    public HttpHead head() {
        return head;
    }

    /** The request's body, whole. */
    public byte[] body() {
        return body;
    }

    /** Whether an answer has been given, or begun. */
    public boolean answered() {
        return answered;
    }

    /** Whether the peer left before the answer. */
    public boolean gone() {
        return gone;
    }

    /** The server's connection of this exchange, for owners that reset or watch it. */
    public calicovale.protocols.net.Connection connection() {
        return peer.connection();
    }

    /** Calls {@code body} if the peer leaves before the answer, or before the end of a streamed one; now if it has. */
    public void onGone(Runnable body) {
        onGone = body;
        if (gone) {
            body.run();
        }
    }

    void peerLeft() {
        if (!gone) {
            gone = true;
            if (onGone != null) {
                onGone.run();
            }
        }
    }

    /**
     * Answers.
     *
     * @return false if the peer has left; nothing was written
     * @throws IllegalStateException if it was answered before
     */
    public boolean respond(int status, Headers headers, byte[] content) {
        begin();
        return !gone && peer.respond(status, headers, content, head.method().equals("HEAD"));
    }

    /** Answers with text. */
    public boolean respond(int status, String type, String text) {
        return respond(status, new Headers().add("Content-Type", type), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Answers without content. */
    public boolean respond(int status) {
        return respond(status, new Headers(), NONE);
    }

    /** Answers with problem details (RFC 9457); {@code more} is further JSON members, each led by a comma, or empty. */
    public boolean problem(int status, Headers headers, String title, String detail, String more) {
        String json = "{\"title\":" + quote(title) + ",\"status\":" + status
                + (detail == null ? "" : ",\"detail\":" + quote(detail)) + more + "}";
        return respond(
                status, headers.add("Content-Type", "application/problem+json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with problem details. */
    public boolean problem(int status, String title, String detail) {
        return problem(status, new Headers(), title, detail, "");
    }

    /** Begins an answer whose chunked body follows; null if the peer has left. */
    public BodyStream stream(int status, Headers headers) {
        begin();
        return gone ? null : peer.stream(this, status, headers, -1);
    }

    /** Begins an answer whose body of a known length follows; null if the peer has left. */
    public BodyStream stream(int status, Headers headers, long length) {
        begin();
        return gone ? null : peer.stream(this, status, headers, length);
    }

    private void begin() {
        if (answered) {
            throw new IllegalStateException("answered before: " + head.method() + " " + head.target());
        }
        answered = true;
    }

    /** A JSON string. */
    public static String quote(String text) {
        StringBuilder out = new StringBuilder(text.length() + 2).append('"');
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }
}
