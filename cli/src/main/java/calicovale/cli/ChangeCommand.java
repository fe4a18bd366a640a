package calicovale.cli;

import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.keys.Ed25519;
import calicovale.stitch.Change;
import calicovale.stitch.ChangeKeys;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code calicovale change}, which adds, lists and withdraws programme changes at session managers. */
@Command(
        name = "change",
        description = "Adds, lists or withdraws programme changes at session managers.",
        mixinStandardHelpOptions = true)
final class ChangeCommand implements Callable<Integer> {
    /** Timeout of each connection and of each request. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "one of add, list, show, withdraw, key, sign is expected");
    }

    /** Sends a request to each manager. Returns the highest exit status. */
    private int sendToAll(List<String> managers, String method, String path, String body)
            throws IOException, InterruptedException {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(REQUEST_TIMEOUT)
                .build();
        int status = Main.OK;
        for (String manager : managers) {
            if (!manager.matches("127(\\.\\d{1,3}){3}:\\d{1,5}")) {
                throw new ParameterException(
                        spec.commandLine(), "--manager: a loopback address and port are expected, not " + manager);
            }
        }
        for (String manager : managers) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + manager + path))
                    .timeout(REQUEST_TIMEOUT)
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build();
            try {
                HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
                boolean succeeded = response.statusCode() < 300;
                (succeeded ? spec.commandLine().getOut() : spec.commandLine().getErr())
                        .println(manager + ": " + response.statusCode() + " " + response.body());
                // a failure at one manager does not stop the request to the others
                status = Math.max(
                        status, succeeded ? Main.OK : response.statusCode() == 422 ? Main.BAD_INPUT : Main.FAILED);
            } catch (IOException e) {
                spec.commandLine().getErr().println(manager + ": " + FailureTexts.unreachable(e));
                status = Math.max(status, Main.FAILED);
            }
        }
        spec.commandLine().getOut().flush();
        return status;
    }

    private static void checkReadable(Path file) throws InvalidDocumentException {
        if (!Files.isReadable(file)) {
            IOException reason = Files.exists(file)
                    ? new AccessDeniedException(file.toString())
                    : new NoSuchFileException(file.toString());
            throw new InvalidDocumentException(List.of(file + ": /: " + Documents.unreadableFault(reason)));
        }
    }

    private static String readText(Path file) throws IOException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw FailureTexts.unreadable(file, e);
        }
    }

    @Command(name = "add", description = "Tells a change to each manager named.", mixinStandardHelpOptions = true)
    int add(
            @Option(
                            names = "--manager",
                            required = true,
                            description = "operators' address of a manager, again for each")
                    List<String> managers,
            @Parameters(description = "the change's document") Path file)
            throws IOException, InterruptedException, InvalidDocumentException {
        checkReadable(file);
        String text = readText(file);
        // reports an invalid document before any manager receives it
        Change.parse(file.toString(), text);
        return sendToAll(managers, "POST", "/v1/changes", text);
    }

    @Command(name = "list", description = "Lists the changes of each manager named.", mixinStandardHelpOptions = true)
    int list(
            @Option(
                            names = "--manager",
                            required = true,
                            description = "operators' address of a manager, again for each")
                    List<String> managers)
            throws IOException, InterruptedException {
        return sendToAll(managers, "GET", "/v1/changes", "");
    }

    @Command(
            name = "withdraw",
            description = "Withdraws a change at each manager named.",
            mixinStandardHelpOptions = true)
    int withdraw(
            @Option(
                            names = "--manager",
                            required = true,
                            description = "operators' address of a manager, again for each")
                    List<String> managers,
            @Parameters(description = "the change's id") String id)
            throws IOException, InterruptedException {
        return sendToAll(managers, "DELETE", "/v1/changes/" + id, "");
    }

    @Command(
            name = "show",
            description = "Shows a change and how it fared with the sessions of each manager named.",
            mixinStandardHelpOptions = true)
    int show(
            @Option(
                            names = "--manager",
                            required = true,
                            description = "operators' address of a manager, again for each")
                    List<String> managers,
            @Parameters(description = "the change's id") String id)
            throws IOException, InterruptedException {
        return sendToAll(managers, "GET", "/v1/changes/" + id, "");
    }

    @Command(
            name = "key",
            description = "Makes a key by which documents are signed: the private one goes into the file, the "
                    + "public one, for managers' settings, is printed.",
            mixinStandardHelpOptions = true)
    int key(@Option(names = "--out", required = true, description = "a file that is not there yet") Path out)
            throws IOException, GeneralSecurityException {
        Ed25519.TextKeyPair pair = Ed25519.TextKeyPair.generate();
        try {
            Files.writeString(
                    Files.createFile(
                            out, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"))),
                    pair.privateKey() + "\n");
        } catch (FileAlreadyExistsException e) {
            throw new ParameterException(spec.commandLine(), "--out: a file that is not there yet is expected: " + out);
        } catch (IOException e) {
            throw FailureTexts.unwritable(out, e);
        }
        spec.commandLine().getOut().println(pair.publicKey());
        spec.commandLine().getOut().flush();
        return Main.OK;
    }

    @Command(
            name = "sign",
            description = "Prints a change's document with its signature.",
            mixinStandardHelpOptions = true)
    int sign(
            @Option(names = "--key", required = true, description = "the private key's file") Path key,
            @Option(names = "--name", required = true, description = "the key's name in the managers' settings")
                    String name,
            @Parameters(description = "the change's document") Path file)
            throws IOException, InvalidDocumentException {
        for (Path input : List.of(key, file)) {
            checkReadable(input);
        }
        String text = readText(file);
        Change.parse(file.toString(), text);
        String signed;
        try {
            signed = ChangeKeys.sign(text, name, readText(key).strip());
        } catch (IllegalArgumentException e) {
            throw new InvalidDocumentException(
                    List.of(key + ": /: a private key as 'change key' writes it is expected"));
        }
        spec.commandLine().getOut().println(signed);
        spec.commandLine().getOut().flush();
        return Main.OK;
    }
}
