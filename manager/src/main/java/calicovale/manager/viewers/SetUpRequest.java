package calicovale.manager.viewers;

import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.Parameter;
import java.util.HashMap;
import java.util.Map;

/**
 * What a viewer's set-up says, read and checked as a whole.
 *
 * @param rejectCause the cause to refuse it with; 0: it is good
 * @param rejectReason what is wrong with it
 * @param classIndex the class's place in the settings
 * @param playingAt the server where it plays already; null: it is to be set up
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
    private static final int MAX_TEXT_CHARS = 256;
    private static final int MAX_EXTRAS = 16;
    private static final int MAX_DIGITS = 9;

    private static SetUpRequest rejected(int cause, String reason) {
        return new SetUpRequest(cause, reason, 0, null, null, 0, false, false, 0, 0, 0, null, null);
    }

    static SetUpRequest parse(Message message, ViewerSettings settings) {
        if (message.malformed()) {
            return rejected(Cause.INVALID_CONTENTS, "parameters that do not fit");
        }
        if (message.session() == 0) {
            return rejected(Cause.ELEMENT_MISSING, "no id");
        }
        String sessionClass = message.text(Parameter.CLASS);
        String title = message.text(Parameter.TITLE);
        String waitText = message.text(Parameter.WAIT);
        if (sessionClass == null || title == null || waitText == null || !message.has(Parameter.DESCRIPTION)) {
            return rejected(Cause.ELEMENT_MISSING, "no class, title, wait or description, or no text");
        }
        int classIndex = settings.classes().indexOf(sessionClass);
        if (classIndex < 0) {
            return rejected(Cause.INVALID_CONTENTS, "no such class");
        }
        if (!isName(title)) {
            return rejected(Cause.INVALID_CONTENTS, "a title that is no name");
        }
        String retry = message.text(Parameter.RETRY);
        if (message.has(Parameter.RETRY) && !"1".equals(retry)) {
            return rejected(Cause.INVALID_CONTENTS, "a retry of '" + excerpt(retry) + "'");
        }
        Map<String, String> extras = new HashMap<>();
        String extrasText = message.text(Parameter.EXTRAS);
        if (message.has(Parameter.EXTRAS) && extrasText == null) {
            return rejected(Cause.INVALID_CONTENTS, "figures that are no text");
        }
        for (String part :
                extrasText == null || extrasText.isEmpty() ? new String[0] : extrasText.split(";", MAX_EXTRAS)) {
            int colon = part.indexOf(':');
            if (colon < 1 || extras.put(part.substring(0, colon), part.substring(colon + 1)) != null) {
                return rejected(Cause.INVALID_CONTENTS, "figures such as '" + excerpt(part) + "'");
            }
        }
        String playingAt = extras.get("at");
        int waitMs = wholeNumber(waitText);
        // who is answered already waits for nothing
        if (waitMs < 1
                || playingAt == null && waitMs > settings.maxWaitMsByClass().get(classIndex)) {
            return rejected(Cause.INVALID_CONTENTS, "a wait of '" + excerpt(waitText) + "'");
        }
        int homeCell = wholeNumber(extras.getOrDefault("home", "0"));
        int span = wholeNumber(extras.getOrDefault("copies", String.valueOf(Integer.MAX_VALUE / 2)));
        int topRung = wholeNumber(extras.getOrDefault("top", String.valueOf(settings.rungs() - 1)));
        if (homeCell < 0
                || settings.cells() > 0 && homeCell >= settings.cells()
                || span < 1
                || topRung < 0
                || topRung >= settings.rungs()) {
            return rejected(Cause.INVALID_CONTENTS, "figures out of range: '" + excerpt(extrasText) + "'");
        }
        String viewer = extras.getOrDefault("viewer", "");
        if (viewer.length() > MAX_TEXT_CHARS) {
            return rejected(Cause.INVALID_CONTENTS, "a viewer of " + viewer.length() + " characters");
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

    private static boolean isName(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_TEXT_CHARS
                && text.chars().allMatch(c -> c > ' ' && c != 0x7f);
    }

    /** A whole number from 0; -1: it is none. */
    private static int wholeNumber(String text) {
        if (text.isEmpty() || text.length() > MAX_DIGITS + 1 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        long number = Long.parseLong(text);
        return number <= Integer.MAX_VALUE ? (int) number : -1;
    }

    private static String excerpt(String text) {
        return text == null ? "" : text.length() > 40 ? text.substring(0, 40) + "..." : text;
    }
}
