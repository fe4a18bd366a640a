package calicovale.cli;

import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.judge.Report;
import calicovale.rehearsal.run.Rehearsal;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code calicovale rehearse}, which runs a scripted day over real sockets and judges the traffic. */
@Command(
        name = "rehearse",
        description = "Runs a scripted day through real sockets and judges the six rules.",
        mixinStandardHelpOptions = true)
final class RehearseCommand implements Callable<Integer> {
    @Parameters(description = "the day file")
    private Path file;

    @Option(names = "--out", description = "folder for report.json and tape.jsonl")
    private Path out;

    @Option(names = "--seed", description = "another seed than the day's own")
    private Long seed;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InvalidDocumentException, IOException {
        Day day = Day.read(file);
        if (seed != null) {
            day = day.withSeed(seed);
        }
        Path outputFolder = out != null ? out : Files.createTempDirectory("calicovale-rehearsal");
        Files.createDirectories(outputFolder);
        Report report;
        // the managers' state is new for each run, because state of another run could contain changes that this day
        // does not have
        Path stateFolder = Files.createTempDirectory("calicovale-state");
        try (Rehearsal rehearsal = new Rehearsal(day, stateFolder)) {
            rehearsal.start();
            rehearsal.play();
            rehearsal
                    .counters()
                    .forEach((name, count) -> spec.commandLine().getErr().println(name + " " + count));
            rehearsal.stop();
            report = rehearsal.report();
            if (out != null) {
                rehearsal.recording().write(outputFolder.resolve("tape.jsonl"));
                Files.writeString(
                        outputFolder.resolve("report.json"),
                        Documents.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(report.json()) + "\n");
            }
        }
        spec.commandLine().getOut().print(report.table());
        spec.commandLine().getOut().flush();
        return report.allRulesKept() ? Main.OK : Main.FAILED;
    }
}
