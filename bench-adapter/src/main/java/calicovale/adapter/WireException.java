package calicovale.adapter;

import calicovale.host.BadValueException;

/** Input that breaks the wire's form; the message says what is wrong and quotes the line. */
final class WireException extends BadValueException {
    private static final long serialVersionUID = 1L;
    private static final int QUOTED = 300;

    WireException(String what, String line) {
        super(what + ": \"" + (line.length() > QUOTED ? line.substring(0, QUOTED) + "..." : line) + "\"");
    }
}
