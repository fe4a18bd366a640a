package calicovale.protocols.http;

/**
 * Head of a request or a response: its start line and its header fields.
 *
 * @param method method of a request; null for a response
 * @param target request target; null for a response
 * @param status status code of a response; 0 for a request
 * @param reason reason phrase of a response; null for a request
 * @param minorVersion minor HTTP version, 0 or 1
 * @param headers header fields
 */
public record HttpHead(String method, String target, int status, String reason, int minorVersion, Headers headers) {

    /** Returns whether the connection persists after this message (RFC 9112, 9.3). */
    public boolean isPersistent() {
        if (headers.containsToken("Connection", "close")) {
            return false;
        }
        return minorVersion >= 1 || headers.containsToken("Connection", "keep-alive");
    }

    /** Returns the target without its query. */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    /** Returns the first query parameter with a name, percent-decoded, or null; an empty string if it has no value. */
    public String queryParameter(String name) {
        int queryStart = target.indexOf('?');
        if (queryStart < 0) {
            return null;
        }
        for (String part : target.substring(queryStart + 1).split("&")) {
            int equalsSign = part.indexOf('=');
            String key = equalsSign < 0 ? part : part.substring(0, equalsSign);
            if (key.equals(name)) {
                return PercentEncoding.decode(equalsSign < 0 ? "" : part.substring(equalsSign + 1));
            }
        }
        return null;
    }
}
