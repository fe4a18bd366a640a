package calicovale.cli;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.core.JsonProcessingException;
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

/**
 * The command {@code calicovale members}, which prints a running manager's view of its group and of claims on boxes.
 */
@Command(
        name = "members",
        description = "Prints a running manager's view of its group: members, claims on boxes, what it "
                + "believes of them.",
        mixinStandardHelpOptions = true)
final class MembersCommand implements Callable<Integer> {
    /** Timeout of the connection and of the request. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

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
        HttpResponse<String> response;
        try {
            response = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(REQUEST_TIMEOUT)
                    .build()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + manager + "/v1/members"))
                                    .timeout(REQUEST_TIMEOUT)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            spec.commandLine().getErr().println(manager + ": " + FailureTexts.unreachable(e));
            return Main.FAILED;
        }
        if (response.statusCode() != 200) {
            spec.commandLine().getErr().println(manager + ": " + response.statusCode() + " " + response.body());
            return Main.FAILED;
        }
        JsonNode view;
        try {
            view = Documents.MAPPER.readTree(response.body());
        } catch (JsonProcessingException e) {
            throw new IOException(manager + ": " + Documents.notJsonFault(e), e);
        }
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(view.toPrettyString());
        } else {
            printView(view, out);
        }
        out.flush();
        return Main.OK;
    }

    private static void printView(JsonNode view, PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "group %s as %s sees it from %s: %d present, quorum %d, health %d%n",
                view.get("group").asText(),
                view.get("member").asText(),
                view.get("address").asText(),
                view.get("present").asInt(),
                view.get("quorum").asInt(),
                view.get("health").asInt());
        out.printf(
                Locale.ROOT,
                "%-24s%-22s%-9s%10s%16s%7s%n",
                "member",
                "address",
                "state",
                "since s",
                "incarnation",
                "voice");
        for (JsonNode member : view.get("members")) {
            out.printf(
                    Locale.ROOT,
                    "%-24s%-22s%-9s%10.1f%16d%7.2f%n",
                    member.get("id").asText(),
                    member.get("address").asText(),
                    member.get("state").asText(),
                    member.get("sinceS").asDouble(),
                    member.get("incarnation").asLong(),
                    member.get("voice").asDouble());
        }
        for (JsonNode claim : view.get("claims")) {
            out.printf(
                    Locale.ROOT,
                    "box %d: %s claims %s, strength %.2f, seen %.1f s ago%n",
                    claim.get("box").asLong(),
                    claim.get("by").asText(),
                    claim.get("kind").asText(),
                    claim.get("strength").asDouble(),
                    claim.get("seenS").asDouble());
        }
        view.get("evidence")
                .properties()
                .forEach(e -> out.printf(
                        Locale.ROOT,
                        "box %s: believed, strength %.2f%n",
                        e.getKey(),
                        e.getValue().asDouble()));
    }
}
