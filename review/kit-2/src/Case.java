import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A case of the review: its record, its temporary folder, its processes, and the exit status that it ends with. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long MAX_RUN_MS = 115_000;

    /** Whether the disruption happens; not with TROUBLE=0. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Record record;
    Path root;
    Path folder;
    private final List<Manager> managers = new ArrayList<>();

    /** Plays the case and returns what it found: an empty text if the rule held. */
    abstract String play() throws Exception;

    /** Thrown if the case can't run, for example because the machine is too slow for it. */
    static final class CouldNotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CouldNotRun(String reason) {
            super(reason);
        }
    }

    static void require(boolean condition, String otherwise) throws CouldNotRun {
        if (!condition) {
            throw new CouldNotRun(otherwise);
        }
    }

    /** Prepares a session manager, which is ended with the case. */
    final Manager manager(String name) throws Exception {
        Manager manager = new Manager(record, root, folder, name);
        managers.add(manager);
        return manager;
    }

    private void endManagers() {
        for (Manager manager : managers) {
            try {
                manager.close();
            } catch (Exception e) {
                record.line("a process may be left: " + e);
            }
        }
    }

    /** Runs a case whose files are in the folder {@code args[0]}, two levels below the root of the project. */
    static void main(String[] args, Case self) throws Exception {
        Path caseFolder = Path.of(args[0]).toRealPath();
        self.root = caseFolder.getParent().getParent();
        self.folder = Files.createTempDirectory("calicovale-case-");
        self.record = new Record(caseFolder.resolve("record.txt"));
        self.record.line("TROUBLE=" + (self.trouble ? 1 : 0));
        Threads.start(() -> {
            Thread.sleep(MAX_RUN_MS);
            self.finish(COULD_NOT_RUN, "the case took more than " + MAX_RUN_MS + " ms");
        });
        int status;
        String text;
        try {
            String found = self.play();
            status = found.isEmpty() ? HELD : BROKEN;
            text = found.isEmpty() ? "the rule held" : "rule broken: " + found;
        } catch (CouldNotRun e) {
            status = COULD_NOT_RUN;
            text = "the case couldn't run: " + e.getMessage();
        } catch (Exception e) {
            status = COULD_NOT_RUN;
            text = "the case couldn't run: " + e;
        }
        self.finish(status, text);
    }

    private synchronized void finish(int status, String text) throws Exception {
        endManagers();
        for (Path log : list("log-")) {
            record.line("last lines of " + log.getFileName() + ":");
            List<String> lines = Files.readAllLines(log);
            lines.subList(Math.max(0, lines.size() - 25), lines.size()).forEach(line -> record.line("  " + line));
        }
        record.line("verdict " + status + ": " + text);
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
        System.out.println(text);
        Runtime.getRuntime().halt(status);
    }

    private List<Path> list(String prefix) throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().startsWith(prefix)).toList();
        }
    }
}
