package calicovale.cli;

import calicovale.protocols.json.InvalidDocumentException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Entry point of the command line {@code bin/calicovale}. */
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
    /** Exit status if the command succeeded. */
    public static final int OK = 0;
    /** Exit status if a rule was broken or the command failed. */
    public static final int FAILED = 1;
    /** Exit status if the input or the usage is invalid. */
    public static final int BAD_INPUT = 2;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is expected");
    }

    /** Runs a command line and returns its exit status. */
    public static int run(String... args) {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof InvalidDocumentException invalid) {
                invalid.faults().forEach(fault -> command.getErr().println(fault));
                return BAD_INPUT;
            }
            command.getErr().println(command.getCommandName() + ": " + FailureTexts.describe(e));
            return FAILED;
        });
        return commandLine.execute(args);
    }

    /** Runs a command line and exits the process with its exit status. */
    public static void main(String[] args) {
        System.exit(run(args));
    }
}
