package calicovale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.front.FrontProcess;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Tap;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests the life cycle of keys: generated, certified, used by a manager whose view is printed, and revoked. */
class KeysAndMembersTest {
    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(Object command, Object... args) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        CommandLine commandLine =
                new CommandLine(command).setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        List<String> arguments = new ArrayList<>();
        for (Object arg : args) {
            arguments.add(arg.toString());
        }
        return commandLine.execute(arguments.toArray(String[]::new));
    }

    private FrontSettings settings(String authority) throws InvalidDocumentException {
        return FrontSettings.parse(
                "front", """
                {"manager": {"number": 0, "of": 1}, "listen": {"host": "127.0.0.1", "port": 0},
                 "operators": {"host": "127.0.0.1", "port": 0}, "directory": {"host": "127.0.0.1", "port": 9},
                 "classes": [{"name": "talk", "worth": 1, "aimMs": 800, "deadlineMs": 2000, "lowestRung": 0, "highestRung": 0}],
                 "limits": {"attempts": 4, "retryAfterMs": 2000},
                 "rules": {"coldFrom": 1, "warmAfterMs": 1, "tipMultiple": 4, "tipMs": 1000, "drainGraceMs": 2000},
                 "media": {"rungKb": [12], "rungWorth": [1], "linkKbPerWeight": 1, "kindStreams": [1], "noteDelayMs": 1, "noteEveryMs": 1},
                 "gossip": {"group": "river", "member": "north-1", "listen": {"host": "127.0.0.1", "port": 0}, "seeds": [],
                   "keyFile": "%s", "rosterFolder": "%s", "authority": "%s"}}
                """.formatted(folder.resolve("north-1.key"), folder.resolve("roster"), authority));
    }

    @Test
    void viewOfCertifiedMemberIsPrintedAndRevokedMemberDoesNotStart() throws Exception {
        Path roster = Files.createDirectory(folder.resolve("roster"));
        assertEquals(
                0, run(new KeyCommand(), "new", "--member", "operators", "--out", folder.resolve("operators.key")));
        String authority = out.toString().strip();
        assertEquals(0, run(new KeyCommand(), "new", "--member", "north-1", "--out", folder.resolve("north-1.key")));
        String key = out.toString().strip();
        assertEquals(2, run(new KeyCommand(), "new", "--member", "north-1", "--out", folder.resolve("north-1.key")));
        assertTrue(err.toString().contains("not there yet"), err.toString());
        assertEquals(2, run(new KeyCommand(), "new", "--member", "no spaces", "--out", folder.resolve("x")));
        assertEquals(
                2,
                run(
                        new KeyCommand(),
                        "sign",
                        "--authority",
                        folder.resolve("operators.key"),
                        "--group",
                        "river",
                        "--member",
                        "north-1",
                        "--roster",
                        roster,
                        "short"));
        InvalidDocumentException uncertified = assertThrows(
                InvalidDocumentException.class,
                () -> new FrontProcess(settings(authority), Clock.system(), new SplittableRandom(1), Tap.NONE));
        assertTrue(
                uncertified.faults().get(0).contains("a certificate, in force"),
                uncertified.faults().toString());
        assertEquals(
                0,
                run(
                        new KeyCommand(),
                        "sign",
                        "--authority",
                        folder.resolve("operators.key"),
                        "--group",
                        "river",
                        "--member",
                        "north-1",
                        "--roster",
                        roster,
                        key));
        try (FrontProcess front =
                new FrontProcess(settings(authority), Clock.system(), new SplittableRandom(1), Tap.NONE)) {
            String operatorsAddress = "127.0.0.1:" + front.operatorsAddress().getPort();
            assertEquals(0, run(new MembersCommand(), "--manager", operatorsAddress));
            assertTrue(out.toString().startsWith("group river as north-1 sees it"), out.toString());
            assertTrue(
                    out.toString().lines().anyMatch(l -> l.startsWith("north-1 ") && l.contains(" alive ")),
                    out.toString());
            assertEquals(0, run(new MembersCommand(), "--json", "--manager", operatorsAddress));
            assertTrue(out.toString().contains("\"dropped-signature\" : 0"), out.toString());
            assertEquals(
                    1,
                    run(
                            new MembersCommand(),
                            "--manager",
                            "127.0.0.1:" + front.gossipAddress().getPort()));
        }
        assertEquals(2, run(new MembersCommand(), "--manager", "192.0.2.1:80"));
        assertEquals(
                0,
                run(
                        new KeyCommand(),
                        "revoke",
                        "--authority",
                        folder.resolve("operators.key"),
                        "--roster",
                        roster,
                        key));
        assertThrows(
                InvalidDocumentException.class,
                () -> new FrontProcess(settings(authority), Clock.system(), new SplittableRandom(1), Tap.NONE));
        // a revocation that the operators did not sign has no effect
        assertEquals(0, run(new KeyCommand(), "revoke", "--roster", roster, key));
        new FrontProcess(settings(authority), Clock.system(), new SplittableRandom(1), Tap.NONE).close();
        assertEquals(
                0,
                run(
                        new KeyCommand(),
                        "new",
                        "--member",
                        "listed",
                        "--out",
                        folder.resolve("listed.key"),
                        "--roster",
                        roster));
        try (var files = Files.list(roster)) {
            assertTrue(files.anyMatch(f -> f.getFileName().toString().startsWith("listed-")));
        }
    }

    @Test
    void allFaultsOfGossipSettingsAreReportedAtOnce() {
        InvalidDocumentException invalid = assertThrows(
                InvalidDocumentException.class,
                () -> FrontSettings.parse(
                        "front", Files.readString(Path.of("src", "test", "resources", "bad-gossip.json"))));
        for (String location :
                List.of("/gossip: /seeds/0", "/gossip: /member", "/gossip: /keyFile", "/gossip: /claims/quorumPart")) {
            assertTrue(
                    invalid.faults().stream()
                            .anyMatch(f -> f.contains(location.substring(0, location.lastIndexOf('/')))
                                    && f.contains(location.substring(location.lastIndexOf('/') + 1))),
                    location + " in " + invalid.faults());
        }
        assertFalse(invalid.faults().stream().anyMatch(f -> f.contains("rosterFolder")));
    }
}
