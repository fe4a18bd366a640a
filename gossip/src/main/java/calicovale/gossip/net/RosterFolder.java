package calicovale.gossip.net;

import calicovale.gossip.wire.Certificate;
import calicovale.gossip.wire.Roster;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Owns one reading of the roster's folder: all of its JSON files, whatever is wrong with some of them. */
final class RosterFolder {
    private static final int MOST_BYTES = 4096;

    /** What a reading gave. */
    record Reading(List<Roster.Entry> keys, List<Certificate> certificates, Set<Long> revoked, List<String> faults) {}

    private RosterFolder() {}

    /** Reads at most so many files, in the order of their names. */
    static Reading read(Path folder, PublicKey authority, int most) throws IOException {
        Reading result = new Reading(new ArrayList<>(), new ArrayList<>(), new HashSet<>(), new ArrayList<>());
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(f -> f.getFileName().toString().endsWith(".json"))
                    .sorted()
                    .toList();
        }
        if (files.size() > most) {
            result.faults().add(folder + ": at most " + most + " files are expected, " + files.size() + " are there");
        }
        for (Path file : files.subList(0, Math.min(most, files.size()))) {
            try {
                one(file, authority, result);
            } catch (InvalidDocumentException e) {
                result.faults().addAll(e.faults());
            } catch (IOException e) {
                result.faults().add(file + ": /: a readable JSON file is expected");
            }
        }
        return result;
    }

    private static void one(Path file, PublicKey authority, Reading into) throws IOException, InvalidDocumentException {
        if (Files.size(file) > MOST_BYTES) {
            throw new InvalidDocumentException(List.of(file + ": /: at most " + MOST_BYTES + " bytes are expected"));
        }
        String text = Files.readString(file);
        String name = file.toString();
        switch (Documents.MAPPER.readTree(text).path("schema").asText()) {
            case "calicovale/member-key/1" -> {
                if (authority != null) {
                    throw new InvalidDocumentException(
                            List.of(name + ": /schema: a certificate is expected, since /authority is set"));
                }
                into.keys().add(KeyDocuments.listed(name, text));
            }
            case "calicovale/certificate/1" -> into.certificates().add(KeyDocuments.certificate(name, text));
            case "calicovale/revocation/1" -> into.revoked().add(KeyDocuments.revocation(name, text, authority));
            default ->
                throw new InvalidDocumentException(List.of(name + ": /schema: one of calicovale/member-key/1, "
                        + "calicovale/certificate/1, calicovale/revocation/1 is expected"));
        }
    }
}
