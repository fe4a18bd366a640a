package calicovale.protocols.http;

/**
 * Owns the reading of Range (RFC 9110, 14.1.2) against a content of a known length: one range of bytes, or the whole where the
 * header is absent, malformed, of another unit or of several ranges, all of which a server may ignore (14.2).
 *
 * @param first offset of the first byte
 * @param length number of bytes; 0: no byte of the content is in the range (416)
 * @param whole whether the answer is the whole content (200)
 */
public record ByteRange(long first, long length, boolean whole) {

    /** The range that a header asks for; {@code header} null: absent. */
    public static ByteRange of(String header, long content) {
        ByteRange all = new ByteRange(0, content, true);
        if (header == null || !header.matches("bytes=(\\d{1,18}-\\d{0,18}|-\\d{1,18})")) {
            return all;
        }
        int dash = header.indexOf('-');
        String from = header.substring(6, dash);
        String to = header.substring(dash + 1);
        if (from.isEmpty()) {
            // the last so many bytes; all, if there are not that many
            long last = Math.min(Long.parseLong(to), content);
            return new ByteRange(content - last, last, false);
        }
        long first = Long.parseLong(from);
        long end = to.isEmpty() ? content - 1 : Math.min(Long.parseLong(to), content - 1);
        if (!to.isEmpty() && Long.parseLong(to) < first) {
            return all;
        }
        return first >= content ? new ByteRange(first, 0, false) : new ByteRange(first, end - first + 1, false);
    }

    /** The value of Content-Range: of a part, or of none where nothing of it is there. */
    public String contentRange(long content) {
        return length == 0 ? "bytes */" + content : "bytes " + first + "-" + (first + length - 1) + "/" + content;
    }
}
