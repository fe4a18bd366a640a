package calicovale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

@Timeout(120)
class MainTest {
    private final List<Process> started = new ArrayList<>();

    @TempDir
    private Path folder;

    @AfterEach
    void stopProcesses() {
        started.forEach(Process::destroyForcibly);
    }

    @Test
    void usageErrorsAndBadInputExitWithTwo() throws Exception {
        assertEquals(2, Main.run());
        assertEquals(2, Main.run("none"));
        assertEquals(2, Main.run("rehearse", folder.resolve("absent.json").toString()));
        Path file = Files.writeString(
                folder.resolve("bad.json"), "{\"schema\":\"calicovale/box/1\",\"id\":-1,\"streams\":0}");
        StringWriter err = new StringWriter();
        CommandLine commandLine = new CommandLine(new CheckCommand()).setErr(new PrintWriter(err, true));
        assertEquals(2, commandLine.execute(file.toString()));
        for (String location : List.of("/id", "/streams", "linkKb", "listen")) {
            assertTrue(err.toString().contains(location), location + " in " + err);
        }
        assertTrue(err.toString().lines().allMatch(l -> l.startsWith(file.toString())));
    }

    @Test
    void scriptedDaysOfThisRepositoryAreValid() throws Exception {
        List<String> args = new ArrayList<>(List.of("check"));
        try (var days = Files.list(Path.of("..", "days"))) {
            days.map(Path::toString).forEach(args::add);
        }
        assertTrue(args.size() > 2);
        assertEquals(0, Main.run(args.toArray(String[]::new)));
    }

    private record RunningProcess(Process process, String address, BufferedReader out) {}

    /** Starts the program as a separate process and waits until it listens. */
    private RunningProcess start(String... args) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "calicovale.cli.Main"));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command)
                .redirectError(folder.resolve("err-" + started.size()).toFile())
                .start();
        started.add(process);
        BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = out.readLine();
        assertTrue(line != null && line.startsWith("listening on "), line);
        return new RunningProcess(process, line.substring(line.indexOf('/') + 1), out);
    }

    @Test
    void separateProcessesServeASessionAndSigtermAnswersPendingRequests() throws Exception {
        Path box = Files.writeString(
                folder.resolve("box.json"),
                "{\"id\":1,\"listen\":{\"host\":\"127.0.0.1\",\"port\":0},"
                        + "\"streams\":40,\"linkKb\":900,\"setUpMs\":400}");
        String boxAddress = start("box", "--config", box.toString()).address();
        Path directory = Files.writeString(
                folder.resolve("directory.json"),
                "{\"listen\":{\"host\":\"127.0.0.1\",\"port\":0}," + "\"boxes\":[{\"id\":1,\"address\":\"" + boxAddress
                        + "\"}]}");
        String directoryAddress =
                start("directory", "--config", directory.toString()).address();
        String directoryPort = directoryAddress.substring(directoryAddress.indexOf(':') + 1);
        int operatorsPort;
        try (java.net.ServerSocket freePort =
                new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            operatorsPort = freePort.getLocalPort();
        }
        Path front = Files.writeString(folder.resolve("front.json"), """
                {"manager": {"number": 0, "of": 1}, "operators": {"host": "127.0.0.1", "port": %s}, "listen": {"host": "127.0.0.1", "port": 0},
                 "directory": {"host": "127.0.0.1", "port": %s},
                 "classes": [{"name": "talk", "worth": 1, "aimMs": 3000, "deadlineMs": 6000, "lowestRung": 0, "highestRung": 2}],
                 "limits": {"attempts": 4, "retryAfterMs": 2000},
                 "rules": {"coldFrom": 0.3, "warmAfterMs": 6000, "tipMultiple": 4, "tipMs": 1000, "drainGraceMs": 2000},
                 "media": {"rungKb": [10, 20, 45], "rungWorth": [0.3, 0.6, 1], "linkKbPerWeight": 900, "kindStreams": [40],
                   "noteDelayMs": 700, "noteEveryMs": 3000}}
                """.formatted(operatorsPort, directoryPort));
        RunningProcess manager = start("front", "--config", front.toString());
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        URI uri = URI.create("http://" + manager.address() + "/v1/lectures/t/index.m3u8?class=talk");
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        for (int i = 0; response.statusCode() == 503 && i < 100; i++) {
            // the manager may not have received the list of boxes yet
            Thread.sleep(20);
            response = client.send(request, HttpResponse.BodyHandlers.ofString());
        }
        assertEquals(200, response.statusCode(), response.body());
        Path change = Files.writeString(
                folder.resolve("change.json"),
                "{\"schema\":\"calicovale/change/1\",\"id\":\"c1\","
                        + "\"piece\":{\"title\":\"p\",\"renditions\":[{\"rung\":0,\"rateKb\":5,\"durationsS\":[2]}]},"
                        + "\"start\":{\"lectureS\":4},\"validUntilMs\":9e12}");
        String operatorsAddress = "127.0.0.1:" + operatorsPort;
        assertEquals(0, Main.run("check", change.toString()));
        assertEquals(0, Main.run("change", "add", "--manager", operatorsAddress, change.toString()));
        assertEquals(0, Main.run("change", "list", "--manager", operatorsAddress));
        assertEquals(0, Main.run("change", "show", "--manager", operatorsAddress, "c1"));
        assertEquals(1, Main.run("change", "show", "--manager", operatorsAddress, "c2"));
        String key = folder.resolve("key").toString();
        assertEquals(0, Main.run("change", "key", "--out", key));
        assertEquals(2, Main.run("change", "key", "--out", key), "an existing key file is never overwritten");
        assertEquals(0, Main.run("change", "sign", "--key", key, "--name", "ops", change.toString()));
        assertEquals(2, Main.run("change", "sign", "--key", change.toString(), "--name", "ops", change.toString()));
        assertEquals(0, Main.run("change", "withdraw", "--manager", operatorsAddress, "c1"));
        assertEquals(1, Main.run("change", "withdraw", "--manager", operatorsAddress, "c1"));
        Files.writeString(change, "{\"schema\":\"calicovale/change/1\"}");
        assertEquals(2, Main.run("change", "add", "--manager", operatorsAddress, change.toString()));
        assertEquals(2, Main.run("change", "list", "--manager", "192.0.2.1:80"));
        CompletableFuture<HttpResponse<String>> pendingResponse =
                client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        URI statusUri = URI.create("http://" + manager.address() + "/v1/status");
        String statusText = "";
        for (int i = 0; !statusText.contains("\"pending\":1") && !pendingResponse.isDone() && i < 1000; i++) {
            statusText = client.send(HttpRequest.newBuilder(statusUri).build(), HttpResponse.BodyHandlers.ofString())
                    .body();
        }
        manager.process().destroy();
        int finalStatus = pendingResponse.get(30, TimeUnit.SECONDS).statusCode();
        assertTrue(finalStatus == 200 || finalStatus == 503, "" + finalStatus);
        assertTrue(manager.process().waitFor(30, TimeUnit.SECONDS));
        List<String> log = Files.readAllLines(folder.resolve("err-2"));
        assertTrue(log.stream().allMatch(l -> l.startsWith("{")), "logs are JSON lines");
        assertTrue(
                log.stream().anyMatch(l -> l.contains("\"session\":\"m0-")), "log lines of a session contain its id");
    }
}
