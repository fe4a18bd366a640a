package calicovale.cli;

import calicovale.gossip.net.KeyDocuments;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.keys.Ed25519;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code calicovale key}, which manages the keys by which managers of a group authenticate each other. */
@Command(
        name = "key",
        description = "Makes, certifies and revokes the keys of a group's members.",
        mixinStandardHelpOptions = true)
final class KeyCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "one of new, sign, revoke is expected");
    }

    private static String checkMemberName(CommandSpec spec, String member) {
        if (!member.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
            throw new ParameterException(
                    spec.commandLine(), "--member: letters, digits, dots, dashes, at most 64, are expected");
        }
        return member;
    }

    /** Writes a file of a roster atomically, because members read the folder at any time. */
    private static void writeAtomically(Path file, String text) throws IOException {
        Path temporaryFile = file.resolveSibling(file.getFileName() + ".next");
        try {
            Files.writeString(temporaryFile, text + "\n");
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw FailureTexts.unwritable(file, e);
        }
    }

    private static String keyId(byte[] key) {
        return Long.toHexString(Ed25519.keyId(key));
    }

    @Command(
            name = "new",
            description = "Makes a pair: the private key goes into the file, the public one is listed in the roster's "
                    + "folder or, without one, printed.",
            mixinStandardHelpOptions = true)
    int newKey(
            @Option(
                            names = "--member",
                            required = true,
                            description = "the member's id, or a name of the operators' key")
                    String member,
            @Option(names = "--out", required = true, description = "a file that is not there yet") Path out,
            @Option(names = "--roster", description = "the roster's folder, where keys count by themselves")
                    Path roster)
            throws IOException, GeneralSecurityException, InvalidDocumentException {
        List<String> documents = KeyDocuments.generate(checkMemberName(spec, member));
        if (roster != null && !Files.isDirectory(roster)) {
            throw new ParameterException(spec.commandLine(), "--roster: a folder is expected: " + roster);
        }
        try {
            Files.writeString(
                    Files.createFile(
                            out, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"))),
                    documents.get(0) + "\n");
        } catch (FileAlreadyExistsException e) {
            throw new ParameterException(spec.commandLine(), "--out: a file that is not there yet is expected: " + out);
        } catch (IOException e) {
            throw FailureTexts.unwritable(out, e);
        }
        if (roster != null) {
            writeAtomically(
                    roster.resolve(
                            member + "-" + keyId(KeyDocuments.readKeyPair(out).publicKey()) + ".json"),
                    documents.get(1));
        }
        spec.commandLine()
                .getOut()
                .println(Ed25519.toBase64Url(KeyDocuments.readKeyPair(out).publicKey()));
        spec.commandLine().getOut().flush();
        return Main.OK;
    }

    private byte[] parsePublicKey(String text) {
        try {
            return Ed25519.rawPublicKey(Ed25519.publicKey(text));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(
                    spec.commandLine(), "a public key as 'key new' prints it is expected, not " + text);
        }
    }

    @Command(
            name = "sign",
            description = "Certifies a member's key by the operators' key, into the roster's folder.",
            mixinStandardHelpOptions = true)
    int sign(
            @Option(names = "--authority", required = true, description = "the operators' private key's file")
                    Path authority,
            @Option(names = "--group", required = true, description = "the group's name") String group,
            @Option(names = "--member", required = true, description = "the member's id") String member,
            @Option(
                            names = "--days",
                            defaultValue = "400",
                            description = "for which it holds (default: ${DEFAULT-VALUE})")
                    int days,
            @Option(names = "--roster", required = true, description = "the roster's folder") Path roster,
            @Parameters(description = "the member's public key, as 'key new' prints it") String key)
            throws IOException, InvalidDocumentException {
        if (days < 1 || days > 10_000) {
            throw new ParameterException(spec.commandLine(), "--days: 1 to 10000 are expected");
        }
        byte[] publicKey = parsePublicKey(key);
        long nowMs = System.currentTimeMillis();
        // valid from an hour ago, so that members whose clocks are behind accept the certificate at once
        writeAtomically(
                roster.resolve(checkMemberName(spec, member) + "-" + keyId(publicKey) + ".json"),
                KeyDocuments.certificate(
                        KeyDocuments.readKeyPair(authority).privateKey(),
                        group,
                        member,
                        publicKey,
                        nowMs - TimeUnit.HOURS.toMillis(1),
                        nowMs + TimeUnit.DAYS.toMillis(days)));
        return Main.OK;
    }

    @Command(
            name = "revoke",
            description = "Revokes a key in the roster's folder; what else lists or certifies it there counts no more.",
            mixinStandardHelpOptions = true)
    int revoke(
            @Option(names = "--authority", description = "the operators' private key's file, where there is one")
                    Path authority,
            @Option(names = "--roster", required = true, description = "the roster's folder") Path roster,
            @Parameters(description = "the public key") String key)
            throws IOException, InvalidDocumentException {
        byte[] publicKey = parsePublicKey(key);
        writeAtomically(
                roster.resolve("revoked-" + keyId(publicKey) + ".json"),
                KeyDocuments.revocation(
                        authority == null
                                ? null
                                : KeyDocuments.readKeyPair(authority).privateKey(),
                        publicKey));
        return Main.OK;
    }
}
