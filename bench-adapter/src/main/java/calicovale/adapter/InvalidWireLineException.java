package calicovale.adapter;

import calicovale.host.InvalidValueException;

/** Thrown for an input line that the adapter does not accept; the message says what is wrong and quotes the line. */
final class InvalidWireLineException extends InvalidValueException {
    private static final long serialVersionUID = 1L;
    /** Upper bound of the quoted part of a line, in characters. */
    private static final int MAX_QUOTED_CHARS = 300;

    InvalidWireLineException(String problem, String line) {
        super(problem + ": \"" + (line.length() > MAX_QUOTED_CHARS ? line.substring(0, MAX_QUOTED_CHARS) + "..." : line)
                + "\"");
    }
}
