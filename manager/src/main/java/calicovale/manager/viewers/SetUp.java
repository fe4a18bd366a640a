package calicovale.manager.viewers;

import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.Parameter;
import java.util.HashMap;
import java.util.Map;

/**
 * What a viewer's set-up says, read and checked as a whole.
 *
 * @param fault the cause to refuse it with; 0: it is good
 * @param why what is wrong with it
 * @param classIndex the class's place in the settings
 * @param at the server where it plays already; null: it is to be set up
 */
record SetUp(
        int fault,
        String why,
        int classIndex,
        String title,
        byte[] description,
        double waitMs,
        boolean retry,
        boolean again,
        int home,
        int copies,
        int top,
        String viewer,
        String at) {
    private static final int MOST_TEXT = 256;
    private static final int MOST_EXTRAS = 16;
    private static final int DIGITS = 9;

    private static SetUp bad(int cause, String why) {
        return new SetUp(cause, why, 0, null, null, 0, false, false, 0, 0, 0, null, null);
    }

    static SetUp read(Message m, ViewerSettings settings) {
        if (m.malformed()) {
            return bad(Cause.INVALID_CONTENTS, "parameters that do not fit");
        }
        if (m.sessionId() == 0) {
            return bad(Cause.ELEMENT_MISSING, "no id");
        }
        String sessionClass = m.text(Parameter.CLASS);
        String title = m.text(Parameter.TITLE);
        String wait = m.text(Parameter.WAIT);
        if (sessionClass == null || title == null || wait == null || !m.has(Parameter.DESCRIPTION)) {
            return bad(Cause.ELEMENT_MISSING, "no class, title, wait or description, or no text");
        }
        int index = settings.classes().indexOf(sessionClass);
        if (index < 0) {
            return bad(Cause.INVALID_CONTENTS, "no such class");
        }
        if (!name(title)) {
            return bad(Cause.INVALID_CONTENTS, "a title that is no name");
        }
        String retry = m.text(Parameter.RETRY);
        if (m.has(Parameter.RETRY) && !"1".equals(retry)) {
            return bad(Cause.INVALID_CONTENTS, "a retry of '" + shown(retry) + "'");
        }
        Map<String, String> extras = new HashMap<>();
        String text = m.text(Parameter.EXTRAS);
        if (m.has(Parameter.EXTRAS) && text == null) {
            return bad(Cause.INVALID_CONTENTS, "figures that are no text");
        }
        for (String part : text == null || text.isEmpty() ? new String[0] : text.split(";", MOST_EXTRAS)) {
            int colon = part.indexOf(':');
            if (colon < 1 || extras.put(part.substring(0, colon), part.substring(colon + 1)) != null) {
                return bad(Cause.INVALID_CONTENTS, "figures such as '" + shown(part) + "'");
            }
        }
        String at = extras.get("at");
        int waitMs = whole(wait);
        // who is answered already waits for nothing
        if (waitMs < 1 || at == null && waitMs > settings.mostWaitMs().get(index)) {
            return bad(Cause.INVALID_CONTENTS, "a wait of '" + shown(wait) + "'");
        }
        int home = whole(extras.getOrDefault("home", "0"));
        int copies = whole(extras.getOrDefault("copies", String.valueOf(Integer.MAX_VALUE / 2)));
        int top = whole(extras.getOrDefault("top", String.valueOf(settings.rungs() - 1)));
        if (home < 0
                || settings.cells() > 0 && home >= settings.cells()
                || copies < 1
                || top < 0
                || top >= settings.rungs()) {
            return bad(Cause.INVALID_CONTENTS, "figures out of range: '" + shown(text) + "'");
        }
        String viewer = extras.getOrDefault("viewer", "");
        if (viewer.length() > MOST_TEXT) {
            return bad(Cause.INVALID_CONTENTS, "a viewer of " + viewer.length() + " characters");
        }
        return new SetUp(
                0,
                null,
                index,
                title,
                m.value(Parameter.DESCRIPTION),
                waitMs,
                m.has(Parameter.RETRY),
                "1".equals(extras.get("again")),
                home,
                copies,
                top,
                viewer,
                at);
    }

    private static boolean name(String text) {
        return !text.isEmpty() && text.length() <= MOST_TEXT && text.chars().allMatch(c -> c > ' ' && c != 0x7f);
    }

    /** A whole number from 0; -1: it is none. */
    private static int whole(String text) {
        if (text.isEmpty() || text.length() > DIGITS + 1 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        long number = Long.parseLong(text);
        return number <= Integer.MAX_VALUE ? (int) number : -1;
    }

    private static String shown(String text) {
        return text == null ? "" : text.length() > 40 ? text.substring(0, 40) + "..." : text;
    }
}
