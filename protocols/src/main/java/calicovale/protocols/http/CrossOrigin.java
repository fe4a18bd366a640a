package calicovale.protocols.http;

import java.util.List;
import java.util.Set;

/**
 * Owns the answers to pages of other origins (CORS, Fetch standard 3.2): which origins may read what this server answers, its
 * errors too, and what a preflight is told. An origin that is not named gets nothing, and hears no reason.
 */
public final class CrossOrigin {
    /** Nobody is let in: no header is added and a preflight is a request like any other. */
    public static final CrossOrigin NOBODY = new CrossOrigin(Set.of(), false, 0, List.of(), List.of(), List.of());
    /** Any origin, where it stands alone in the settings. */
    public static final String ANY = "*";

    private final Set<String> origins;
    private final boolean credentials;
    private final String maxAgeS;
    private final String exposed;
    private final String requested;
    private final String methods;

    /**
     * What is permitted.
     *
     * @param origins as browsers send them ({@code https://host[:port]}), or {@link #ANY} alone; empty: nobody
     * @param credentials cookies may go along: not with {@link #ANY}
     * @param maxAgeS for which a browser may remember a preflight's answer
     * @param exposed headers of answers that a page may read
     * @param requested headers that a page may send
     * @param methods that a page may use
     */
    public CrossOrigin(
            Set<String> origins,
            boolean credentials,
            int maxAgeS,
            List<String> exposed,
            List<String> requested,
            List<String> methods) {
        if (origins.contains(ANY) && (credentials || origins.size() > 1)) {
            throw new IllegalArgumentException("* stands alone and without credentials");
        }
        this.origins = Set.copyOf(origins);
        this.credentials = credentials;
        this.maxAgeS = Integer.toString(maxAgeS);
        this.exposed = String.join(", ", exposed);
        this.requested = String.join(", ", requested);
        this.methods = String.join(", ", methods);
    }

    /** Whether anybody is let in. */
    public boolean on() {
        return !origins.isEmpty();
    }

    /** The origin to be named in an answer; null: the request is of none that is let in. */
    private String granted(HttpHead head) {
        if (origins.contains(ANY)) {
            return ANY;
        }
        List<String> all = head == null ? List.of() : head.headers().all("Origin");
        // two of them prove nothing; null is the origin of whoever hides his
        return all.size() == 1 && origins.contains(all.get(0)) ? all.get(0) : null;
    }

    /** Adds to an answer what its reader needs; {@code head} null: the request was not read. */
    void addTo(Headers headers, HttpHead head) {
        if (!on()) {
            return;
        }
        if (!origins.contains(ANY)) {
            // also where nothing is granted: a cache must not give one origin what it kept for another
            headers.add("Vary", "Origin");
        }
        String origin = granted(head);
        if (origin == null) {
            return;
        }
        headers.add("Access-Control-Allow-Origin", origin)
                .add("Timing-Allow-Origin", origin)
                .add("Access-Control-Expose-Headers", exposed);
        if (credentials) {
            headers.add("Access-Control-Allow-Credentials", "true");
        }
    }

    /** Whether a request is a preflight that is answered here. */
    boolean preflight(HttpHead head) {
        return on()
                && head.method().equals("OPTIONS")
                && head.headers().get("Origin") != null
                && head.headers().get("Access-Control-Request-Method") != null;
    }

    /** What a preflight is told beside {@link #addTo}. */
    Headers preflightHeaders(HttpHead head) {
        Headers result = new Headers().add("Vary", "Access-Control-Request-Method, Access-Control-Request-Headers");
        if (granted(head) != null) {
            result.add("Access-Control-Allow-Methods", methods)
                    .add("Access-Control-Allow-Headers", requested)
                    .add("Access-Control-Max-Age", maxAgeS);
        }
        return result;
    }
}
