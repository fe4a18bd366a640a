package calicovale.cli;

import calicovale.protocols.json.Documents;
import calicovale.rehearsal.bench.Benchmarks;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code calicovale bench}, which runs measurements, each together with its floor. */
@Command(
        name = "bench",
        description = "Runs measurements, each beside its floor in the same run.",
        mixinStandardHelpOptions = true)
final class BenchCommand implements Callable<Integer> {
    @Parameters(arity = "0..*", description = "names; all where none is given")
    private List<String> names = List.of();

    @Option(names = "--out", description = "folder for bench.json")
    private Path out;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        for (String name : names) {
            if (!Benchmarks.NAMES.contains(name)) {
                throw new ParameterException(
                        spec.commandLine(), "no measurement " + name + ", one of " + Benchmarks.NAMES);
            }
        }
        Benchmarks bench = new Benchmarks();
        for (String name : names.isEmpty() ? Benchmarks.NAMES : names) {
            bench.run(name);
        }
        if (out != null) {
            Files.createDirectories(out);
            Files.writeString(
                    out.resolve("bench.json"),
                    Documents.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(bench.figures()) + "\n");
        }
        spec.commandLine().getOut().print(bench.table());
        spec.commandLine().getOut().flush();
        return Main.OK;
    }
}
