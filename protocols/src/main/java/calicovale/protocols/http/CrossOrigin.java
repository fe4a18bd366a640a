package calicovale.protocols.http;

import java.util.List;
import java.util.Set;

/**
 * Cross-origin resource sharing (CORS, Fetch standard 3.2): which origins may read this server's responses, including
 * error responses, and how preflight requests are answered. Responses to
 * other origins have no access headers and do not say why.
 */
public final class CrossOrigin {
    /** Allows no origin: no header is added, and preflights are handled like any other request. */
    public static final CrossOrigin DISABLED = new CrossOrigin(Set.of(), false, 0, List.of(), List.of(), List.of());
    /** Wildcard for any origin; it must be the only origin in the settings. */
    public static final String ANY = "*";

    private final Set<String> origins;
    private final boolean credentials;
    private final String maxAgeS;
    private final String exposedHeaders;
    private final String allowedHeaders;
    private final String allowedMethods;

    /**
     * Creates a policy.
     *
     * @param origins allowed origins as browsers send them ({@code https://host[:port]}), or {@link #ANY} alone;
     *     empty for none
     * @param credentials whether requests may carry cookies; must be false with {@link #ANY}
     * @param maxAgeS time in s for which a browser may cache the response to a preflight
     * @param exposedHeaders response headers that a page may read
     * @param allowedHeaders request headers that a page may send
     * @param allowedMethods methods that a page may use
     * @throws IllegalArgumentException if {@link #ANY} is combined with other origins or with credentials
     */
    public CrossOrigin(
            Set<String> origins,
            boolean credentials,
            int maxAgeS,
            List<String> exposedHeaders,
            List<String> allowedHeaders,
            List<String> allowedMethods) {
        if (origins.contains(ANY) && (credentials || origins.size() > 1)) {
            throw new IllegalArgumentException("origin * must be the only origin and excludes credentials");
        }
        this.origins = Set.copyOf(origins);
        this.credentials = credentials;
        this.maxAgeS = Integer.toString(maxAgeS);
        this.exposedHeaders = String.join(", ", exposedHeaders);
        this.allowedHeaders = String.join(", ", allowedHeaders);
        this.allowedMethods = String.join(", ", allowedMethods);
    }

    /** Returns whether any origin is allowed. */
    public boolean isEnabled() {
        return !origins.isEmpty();
    }

    /** Returns the value of Access-Control-Allow-Origin, or null if the origin of the request is not allowed. */
    private String allowedOrigin(HttpHead head) {
        if (origins.contains(ANY)) {
            return ANY;
        }
        List<String> originHeaders = head == null ? List.of() : head.headers().getAll("Origin");
        // several Origin fields are ambiguous; browsers send "null" for opaque origins, and it is never in the list
        return originHeaders.size() == 1 && origins.contains(originHeaders.get(0)) ? originHeaders.get(0) : null;
    }

    /** Adds the CORS headers to a response; {@code head} is null if the request's head was not received. */
    void addResponseHeaders(Headers headers, HttpHead head) {
        if (!isEnabled()) {
            return;
        }
        if (!origins.contains(ANY)) {
            // also for origins that are not allowed, so that a cache does not serve one origin's response to another
            headers.add("Vary", "Origin");
        }
        String origin = allowedOrigin(head);
        if (origin == null) {
            return;
        }
        headers.add("Access-Control-Allow-Origin", origin)
                .add("Timing-Allow-Origin", origin)
                .add("Access-Control-Expose-Headers", exposedHeaders);
        if (credentials) {
            headers.add("Access-Control-Allow-Credentials", "true");
        }
    }

    /** Returns whether a request is a preflight that is to be answered with {@link #preflightHeaders}. */
    boolean isPreflight(HttpHead head) {
        return isEnabled()
                && head.method().equals("OPTIONS")
                && head.headers().get("Origin") != null
                && head.headers().get("Access-Control-Request-Method") != null;
    }

    /** Returns the headers of the response to a preflight, without those of {@link #addResponseHeaders}. */
    Headers preflightHeaders(HttpHead head) {
        Headers result = new Headers().add("Vary", "Access-Control-Request-Method, Access-Control-Request-Headers");
        if (allowedOrigin(head) != null) {
            result.add("Access-Control-Allow-Methods", allowedMethods)
                    .add("Access-Control-Allow-Headers", allowedHeaders)
                    .add("Access-Control-Max-Age", maxAgeS);
        }
        return result;
    }
}
