package calicovale.cli;

import calicovale.protocols.json.InvalidDocumentException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Owns the command line: {@code bin/calicovale}. */
@Command(
        name = "calicovale",
        description = "A session front: places video sessions and shapes them.",
        mixinStandardHelpOptions = true,
        version = "calicovale 0.2.0",
        subcommands = {
            FrontCommand.class,
            ManagerCommand.class,
            BoxCommand.class,
            DirectoryCommand.class,
            CheckCommand.class,
            RehearseCommand.class,
            BenchCommand.class,
            ChangeCommand.class,
            KeyCommand.class,
            MembersCommand.class
        })
public final class Main implements Callable<Integer> {
    /** All is well. */
    public static final int WELL = 0;
    /** A rule was broken or a run failed. */
    public static final int BROKEN = 1;
    /** Bad input or usage. */
    public static final int BAD_INPUT = 2;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is expected");
    }

    /** Runs the command line and gives its exit status. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof InvalidDocumentException invalid) {
                invalid.faults().forEach(fault -> command.getErr().println(fault));
                return BAD_INPUT;
            }
            command.getErr().println(command.getCommandName() + ": " + e);
            return BROKEN;
        });
        return line.execute(args);
    }

    /** Ends the process with the exit status. */
    public static void main(String[] args) {
        System.exit(run(args));
    }
}
