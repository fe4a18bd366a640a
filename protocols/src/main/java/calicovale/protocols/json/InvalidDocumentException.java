package calicovale.protocols.json;

import java.util.List;

/** Thrown for a document that is not valid, with all faults found in it. */
public final class InvalidDocumentException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    /** Creates an exception. Each fault is one line: file, JSON pointer or line number, and what is expected. */
    public InvalidDocumentException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults, one line each. */
    public List<String> faults() {
        return faults;
    }
}
