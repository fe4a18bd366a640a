package calicovale.protocols.http;

/**
 * A byte range from a Range header (RFC 9110, 14.1.2), applied to content of a known length. The range is the whole
 * content if the header is absent, malformed, uses another unit or has several ranges; a server may ignore such
 * headers (14.2).
 *
 * @param first offset of the first byte
 * @param length number of bytes; 0 if the range is not satisfiable (416)
 * @param whole whether the response has the whole content (200)
 */
public record ByteRange(long first, long length, boolean whole) {

    /**
     * Returns the range that a Range header requests of {@code contentLength} bytes; {@code header} is null if the
     * request has none.
     */
    public static ByteRange of(String header, long contentLength) {
        ByteRange whole = new ByteRange(0, contentLength, true);
        if (header == null || !header.matches("bytes=(\\d{1,18}-\\d{0,18}|-\\d{1,18})")) {
            return whole;
        }
        int dash = header.indexOf('-');
        String firstDigits = header.substring(6, dash);
        String lastDigits = header.substring(dash + 1);
        if (firstDigits.isEmpty()) {
            // suffix range: the last bytes of the content, or all of it if it is shorter
            long suffixLength = Math.min(Long.parseLong(lastDigits), contentLength);
            return new ByteRange(contentLength - suffixLength, suffixLength, false);
        }
        long first = Long.parseLong(firstDigits);
        long last = lastDigits.isEmpty() ? contentLength - 1 : Math.min(Long.parseLong(lastDigits), contentLength - 1);
        if (!lastDigits.isEmpty() && Long.parseLong(lastDigits) < first) {
            return whole;
        }
        return first >= contentLength ? new ByteRange(first, 0, false) : new ByteRange(first, last - first + 1, false);
    }

    /** Returns the value of Content-Range, for this range or for an unsatisfied one. */
    public String contentRange(long contentLength) {
        return length == 0
                ? "bytes */" + contentLength
                : "bytes " + first + "-" + (first + length - 1) + "/" + contentLength;
    }
}
