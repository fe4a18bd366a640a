package calicovale.cli;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;

/** Describes failures of files and connections for operators, without the names of exception classes. */
final class FailureTexts {
    private FailureTexts() {}

    /** Returns an exception whose message names the file that could not be read, what is expected, and the reason. */
    static IOException unreadable(Path file, IOException e) {
        return new IOException(file + ": /: " + Documents.unreadableFault(e), e);
    }

    /** Returns an exception whose message names the file that could not be written, what is expected, and why. */
    static IOException unwritable(Path file, IOException e) {
        return new IOException(
                file + ": the file cannot be written; a writable file in an existing folder is expected ("
                        + fileReason(e) + ")",
                e);
    }

    /** Returns the text for a manager to which a request could not be sent, or which sent no response. */
    static String unreachable(IOException e) {
        return "the manager could not be reached: " + (e.getMessage() == null ? "connection failed" : e.getMessage());
    }

    /** Returns a description of any failure: its message, or that of its cause if it only wraps the cause. */
    static String describe(Throwable failure) {
        Throwable described = failure;
        while (described.getCause() != null && addsNoMessage(described)) {
            described = described.getCause();
        }
        if (described instanceof JsonProcessingException notJson) {
            return Documents.notJsonFault(notJson);
        }
        if (described instanceof FileSystemException fileFault && fileFault.getFile() != null) {
            return fileFault.getFile() + ": " + fileReason(fileFault);
        }
        if (described instanceof IOException ioFault) {
            return fileReason(ioFault);
        }
        return described.getMessage() == null ? "unexpected failure without a message" : described.getMessage();
    }

    /** Returns whether an exception has no message, or only the default one, which is the text of its cause. */
    private static boolean addsNoMessage(Throwable failure) {
        return failure.getMessage() == null
                || failure.getMessage().equals(failure.getCause().toString());
    }

    /** Returns why a file could not be used. The messages of the exceptions below hold only the file's name. */
    private static String fileReason(IOException e) {
        if (e instanceof NoSuchFileException) {
            return "the file or its folder does not exist";
        }
        if (e instanceof FileAlreadyExistsException) {
            return "a file of this name exists already";
        }
        if (e instanceof NotDirectoryException) {
            return "a folder is expected";
        }
        return e.getMessage() == null ? "input or output failed" : Documents.unreadableReason(e);
    }
}
