package calicovale.cli;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Owns {@code calicovale members}: a running manager's view of its group, and what the group says of boxes. */
@Command(
        name = "members",
        description = "Prints a running manager's view of its group: members, claims on boxes, what it "
                + "believes of them.",
        mixinStandardHelpOptions = true)
final class MembersCommand implements Callable<Integer> {
    private static final Duration WAIT = Duration.ofSeconds(10);

    @Option(names = "--manager", required = true, description = "operators' address of the manager")
    private String manager;

    @Option(names = "--json", description = "the view as the manager gives it, counters included")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!manager.matches("127(\\.\\d{1,3}){3}:\\d{1,5}")) {
            throw new ParameterException(
                    spec.commandLine(), "--manager: a loopback address and port are expected, not " + manager);
        }
        HttpResponse<String> answer;
        try {
            answer = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(WAIT)
                    .build()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + manager + "/v1/members"))
                                    .timeout(WAIT)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            spec.commandLine().getErr().println(manager + ": " + e);
            return Main.BROKEN;
        }
        if (answer.statusCode() != 200) {
            spec.commandLine().getErr().println(manager + ": " + answer.statusCode() + " " + answer.body());
            return Main.BROKEN;
        }
        JsonNode n = Documents.MAPPER.readTree(answer.body());
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(n.toPrettyString());
        } else {
            print(n, out);
        }
        out.flush();
        return Main.WELL;
    }

    private static void print(JsonNode n, PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "group %s as %s sees it from %s: %d present, quorum %d, health %d%n",
                n.get("group").asText(),
                n.get("member").asText(),
                n.get("address").asText(),
                n.get("present").asInt(),
                n.get("quorum").asInt(),
                n.get("health").asInt());
        out.printf(
                Locale.ROOT,
                "%-24s%-22s%-9s%10s%16s%7s%n",
                "member",
                "address",
                "state",
                "since s",
                "incarnation",
                "voice");
        for (JsonNode m : n.get("members")) {
            out.printf(
                    Locale.ROOT,
                    "%-24s%-22s%-9s%10.1f%16d%7.2f%n",
                    m.get("id").asText(),
                    m.get("address").asText(),
                    m.get("state").asText(),
                    m.get("sinceS").asDouble(),
                    m.get("incarnation").asLong(),
                    m.get("voice").asDouble());
        }
        for (JsonNode c : n.get("claims")) {
            out.printf(
                    Locale.ROOT,
                    "box %d: %s claims %s, strength %.2f, seen %.1f s ago%n",
                    c.get("box").asLong(),
                    c.get("by").asText(),
                    c.get("kind").asText(),
                    c.get("strength").asDouble(),
                    c.get("seenS").asDouble());
        }
        n.get("evidence")
                .properties()
                .forEach(e -> out.printf(
                        Locale.ROOT,
                        "box %s: believed, strength %.2f%n",
                        e.getKey(),
                        e.getValue().asDouble()));
    }
}
