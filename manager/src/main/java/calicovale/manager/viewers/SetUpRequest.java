package calicovale.manager.viewers;

import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.Parameter;
import java.util.HashMap;
import java.util.Map;

/**
 * A parsed and checked set-up of a viewer.
 *
 * @param rejectCause the cause to reject it with; 0: it is valid
 * @param rejectReason what is wrong with it, for the log; null if it is valid
 * @param classIndex index of the class in the settings
 * @param description the viewer's description, passed on to the server
 * @param waitMs how long the viewer waits for an answer, in ms
 * @param retry whether the client marked it as a repeat
 * @param returning whether the viewer had a session before and comes back
 * @param homeCell first cell that holds the title
 * @param span number of consecutive cells that hold the title
 * @param topRung highest rung that the viewer can use
 * @param viewer key of the viewer; empty: unknown
 * @param playingAt name of the server where the session already plays; null: it is to be set up
 */
record SetUpRequest(
        int rejectCause,
        String rejectReason,
        int classIndex,
        String title,
        byte[] description,
        double waitMs,
        boolean retry,
        boolean returning,
        int homeCell,
        int span,
        int topRung,
        String viewer,
        String playingAt) {
    /** Upper bound of the characters of a title, a viewer's key or a server's name. */
    private static final int MAX_TEXT_CHARS = 256;
    /** Upper bound of the parts into which the extras are split. */
    private static final int MAX_EXTRAS = 16;
    /** Number of digits with which every number fits an {@code int}; one more is accepted if the value fits. */
    private static final int INT_SAFE_DIGITS = 9;
    /** Heap, in bytes, of the objects and table entries of a set-up that waits for its answer, without its texts. */
    private static final int OBJECTS_HEAP_BYTES = 1024;
    /** Heap, in bytes, of one character of a text. */
    private static final int CHAR_HEAP_BYTES = 2;
    /** Upper bound of the characters of an excerpt in a reason. */
    private static final int MAX_EXCERPT_CHARS = 40;

    /** Returns an estimate of the heap, in bytes, that the set-up needs while it waits for its answer. */
    int heapBytes() {
        return OBJECTS_HEAP_BYTES + description.length + CHAR_HEAP_BYTES * (title.length() + viewer.length());
    }

    private static SetUpRequest rejected(int cause, String reason) {
        return new SetUpRequest(cause, reason, 0, null, null, 0, false, false, 0, 0, 0, null, null);
    }

    /** Parses and checks a set-up. What is wrong with it is in the result. */
    static SetUpRequest parse(Message message, ViewerSettings settings) {
        if (message.malformed()) {
            return rejected(Cause.INVALID_CONTENTS, "malformed parameters");
        }
        if (message.sessionId() == 0) {
            return rejected(Cause.ELEMENT_MISSING, "session id 0");
        }
        String sessionClass = message.text(Parameter.CLASS);
        String title = message.text(Parameter.TITLE);
        String waitText = message.text(Parameter.WAIT);
        if (sessionClass == null || title == null || waitText == null || !message.has(Parameter.DESCRIPTION)) {
            return rejected(Cause.ELEMENT_MISSING, "class, title, wait or description is missing or is not text");
        }
        int classIndex = settings.classes().indexOf(sessionClass);
        if (classIndex < 0) {
            return rejected(
                    Cause.INVALID_CONTENTS,
                    "class must be one of " + String.join(", ", settings.classes()) + ", not '" + excerpt(sessionClass)
                            + "'");
        }
        if (!isValidTitle(title)) {
            return rejected(
                    Cause.INVALID_CONTENTS,
                    "title must have 1 to " + MAX_TEXT_CHARS + " characters, without spaces and control characters");
        }
        String retry = message.text(Parameter.RETRY);
        if (message.has(Parameter.RETRY) && !"1".equals(retry)) {
            return rejected(Cause.INVALID_CONTENTS, "retry must be '1', not '" + excerpt(retry) + "'");
        }
        Map<String, String> extras = new HashMap<>();
        String extrasText = message.text(Parameter.EXTRAS);
        if (message.has(Parameter.EXTRAS) && extrasText == null) {
            return rejected(Cause.INVALID_CONTENTS, "extras are not text");
        }
        for (String part :
                extrasText == null || extrasText.isEmpty() ? new String[0] : extrasText.split(";", MAX_EXTRAS)) {
            int colon = part.indexOf(':');
            if (colon < 1 || extras.put(part.substring(0, colon), part.substring(colon + 1)) != null) {
                return rejected(
                        Cause.INVALID_CONTENTS,
                        "extras must be name:value with distinct names, not '" + excerpt(part) + "'");
            }
        }
        String playingAt = extras.get("at");
        int waitMs = wholeNumber(waitText);
        // the wait of a session that already plays has no upper bound, because it needs no answer
        if (waitMs < 1
                || playingAt == null && waitMs > settings.maxWaitMsByClass().get(classIndex)) {
            return rejected(
                    Cause.INVALID_CONTENTS,
                    "wait must be a whole number of ms from 1 to "
                            + (playingAt == null
                                    ? settings.maxWaitMsByClass()
                                            .get(classIndex)
                                            .longValue()
                                    : Integer.MAX_VALUE)
                            + ", not '" + excerpt(waitText) + "'");
        }
        int homeCell = wholeNumber(extras.getOrDefault("home", "0"));
        int span = wholeNumber(extras.getOrDefault("copies", String.valueOf(Integer.MAX_VALUE / 2)));
        int topRung = wholeNumber(extras.getOrDefault("top", String.valueOf(settings.rungs() - 1)));
        if (homeCell < 0
                || settings.cells() > 0 && homeCell >= settings.cells()
                || span < 1
                || topRung < 0
                || topRung >= settings.rungs()) {
            return rejected(
                    Cause.INVALID_CONTENTS,
                    "home must be a whole number" + (settings.cells() > 0 ? " below " + settings.cells() : "")
                            + ", copies one from 1, and top one below " + settings.rungs() + ", not '"
                            + excerpt(extrasText) + "'");
        }
        String viewer = extras.getOrDefault("viewer", "");
        int longestText = Math.max(viewer.length(), playingAt == null ? 0 : playingAt.length());
        if (longestText > MAX_TEXT_CHARS) {
            return rejected(
                    Cause.INVALID_CONTENTS,
                    "viewer or at has " + longestText + " characters, at most " + MAX_TEXT_CHARS + " are accepted");
        }
        return new SetUpRequest(
                0,
                null,
                classIndex,
                title,
                message.value(Parameter.DESCRIPTION),
                waitMs,
                message.has(Parameter.RETRY),
                "1".equals(extras.get("again")),
                homeCell,
                span,
                topRung,
                viewer,
                playingAt);
    }

    private static boolean isValidTitle(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_TEXT_CHARS
                && text.chars().allMatch(c -> c > ' ' && c != 0x7f);
    }

    /** Returns a whole number from 0, or -1 if the text is not one that fits an {@code int}. */
    private static int wholeNumber(String text) {
        if (text.isEmpty()
                || text.length() > INT_SAFE_DIGITS + 1
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        long number = Long.parseLong(text);
        return number <= Integer.MAX_VALUE ? (int) number : -1;
    }

    private static String excerpt(String text) {
        return text == null
                ? ""
                : text.length() > MAX_EXCERPT_CHARS ? text.substring(0, MAX_EXCERPT_CHARS) + "..." : text;
    }
}
