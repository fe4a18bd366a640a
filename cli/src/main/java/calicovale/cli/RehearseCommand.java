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

/** Owns {@code calicovale rehearse}: a scripted day through real sockets, judged by what crossed them. */
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
        Path folder = out != null ? out : Files.createTempDirectory("calicovale-rehearsal");
        Files.createDirectories(folder);
        Report report;
        // what managers keep is this run's alone: left behind by another it would tell of changes that this day does
        // not have
        Path state = Files.createTempDirectory("calicovale-state");
        try (Rehearsal run = new Rehearsal(day, state)) {
            run.start();
            run.play();
            run.counters().forEach((name, count) -> spec.commandLine().getErr().println(name + " " + count));
            run.finish();
            report = run.report();
            if (out != null) {
                run.tape().write(folder.resolve("tape.jsonl"));
                Files.writeString(
                        folder.resolve("report.json"),
                        Documents.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(report.json()) + "\n");
            }
        }
        spec.commandLine().getOut().print(report.table());
        spec.commandLine().getOut().flush();
        return report.kept() ? Main.WELL : Main.BROKEN;
    }
}
