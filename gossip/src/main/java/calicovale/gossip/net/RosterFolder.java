package calicovale.gossip.net;

import calicovale.gossip.wire.Certificate;
import calicovale.gossip.wire.Roster;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Reads the JSON files of the roster folder; invalid files are reported and skipped. */
final class RosterFolder {
    /** Upper bound of a file's size in bytes; a larger file is reported as an error and not read. */
    private static final int MAX_FILE_BYTES = 4096;

    /** Contents of the folder: valid documents, and an error for each invalid one. */
    record Contents(List<Roster.Entry> keys, List<Certificate> certificates, Set<Long> revoked, List<String> errors) {}

    private RosterFolder() {}

    /** Reads at most {@code maxFiles} files, in the order of their names. */
    static Contents read(Path folder, PublicKey authority, int maxFiles) throws IOException {
        Contents contents = new Contents(new ArrayList<>(), new ArrayList<>(), new HashSet<>(), new ArrayList<>());
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(file -> file.getFileName().toString().endsWith(".json"))
                    .sorted()
                    .toList();
        }
        if (files.size() > maxFiles) {
            contents.errors()
                    .add(folder + ": at most " + maxFiles + " files are expected, " + files.size() + " were found");
        }
        for (Path file : files.subList(0, Math.min(maxFiles, files.size()))) {
            try {
                readFile(file, authority, contents);
            } catch (InvalidDocumentException e) {
                contents.errors().addAll(e.faults());
            } catch (JsonProcessingException e) {
                contents.errors().add(file + ": " + Documents.notJsonFault(e));
            } catch (IOException e) {
                contents.errors().add(file + ": /: " + Documents.unreadableFault(e));
            }
        }
        return contents;
    }

    /** Returns the fault of a folder whose files could not be listed: what is expected, and the reason. */
    static String unreadableFault(Path folder, IOException exception) {
        String reason = exception instanceof NoSuchFileException
                ? "the folder does not exist"
                : exception instanceof NotDirectoryException
                        ? "it is not a folder"
                        : Documents.unreadableReason(exception);
        return folder + ": /: a readable folder is expected (" + reason + ")";
    }

    private static void readFile(Path file, PublicKey authority, Contents contents)
            throws IOException, InvalidDocumentException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new InvalidDocumentException(
                    List.of(file + ": /: at most " + MAX_FILE_BYTES + " bytes are expected"));
        }
        String json = Files.readString(file);
        String name = file.toString();
        switch (Documents.MAPPER.readTree(json).path("schema").asText()) {
            case "calicovale/member-key/1" -> {
                if (authority != null) {
                    throw new InvalidDocumentException(
                            List.of(name + ": /schema: a certificate is expected because /authority is set"));
                }
                contents.keys().add(KeyDocuments.parseMemberKey(name, json));
            }
            case "calicovale/certificate/1" -> contents.certificates().add(KeyDocuments.certificate(name, json));
            case "calicovale/revocation/1" -> contents.revoked().add(KeyDocuments.revocation(name, json, authority));
            default ->
                throw new InvalidDocumentException(List.of(name + ": /schema: one of calicovale/member-key/1, "
                        + "calicovale/certificate/1, calicovale/revocation/1 is expected"));
        }
    }
}
