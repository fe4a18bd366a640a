package calicovale.cli;

import calicovale.front.settings.FrontSettings;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.rehearsal.day.Day;
import calicovale.standin.BoxSettings;
import calicovale.standin.DirectorySettings;
import calicovale.stitch.Change;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command {@code calicovale check}, which validates each file against the schema that its member {@code schema}
 * names.
 */
@Command(
        name = "check",
        description = "Validates settings and day files against their JSON Schemas.",
        mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", description = "files, each with a member \"schema\" such as \"calicovale/day/1\"")
    private List<Path> files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        List<String> faults = new ArrayList<>();
        for (Path file : files) {
            try {
                checkFile(file);
            } catch (InvalidDocumentException e) {
                faults.addAll(e.faults());
            }
        }
        faults.forEach(fault -> spec.commandLine().getErr().println(fault));
        return faults.isEmpty() ? Main.OK : Main.BAD_INPUT;
    }

    private static void checkFile(Path file) throws InvalidDocumentException {
        String schema;
        try {
            JsonNode document = Documents.MAPPER.readTree(Files.readString(file));
            schema = document.path("schema").asText();
        } catch (JsonProcessingException e) {
            throw new InvalidDocumentException(List.of(file + ": " + Documents.notJsonFault(e)));
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(file + ": /: " + Documents.unreadableFault(e)));
        }
        switch (schema) {
            case "calicovale/front/1" -> FrontSettings.read(file);
            case "calicovale/box/1" -> BoxSettings.read(file);
            case "calicovale/directory/1" -> DirectorySettings.read(file);
            case "calicovale/day/1" -> Day.read(file);
            case "calicovale/change/1" -> checkChange(file);
            default ->
                throw new InvalidDocumentException(List.of(file + ": /schema: one of calicovale/front/1, "
                        + "calicovale/box/1, calicovale/directory/1, calicovale/day/1, "
                        + "calicovale/change/1 is expected"));
        }
    }

    private static void checkChange(Path file) throws InvalidDocumentException {
        try {
            Change.parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(file + ": /: " + Documents.unreadableFault(e)));
        }
    }
}
