package calicovale.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that modules depend only on lower modules, and that packages that make decisions do no I/O. */
class ArrowsTest {
    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("calicovale");

    @Test
    void modulesDependOnlyOnLowerModules() {
        assertTrue(MAIN_CLASSES.size() > 60, "only " + MAIN_CLASSES.size() + " classes were found");
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("calicovale..")
                .layer("controller")
                .definedBy("calicovale")
                .layer("protocols")
                .definedBy("calicovale.protocols..")
                .layer("host")
                .definedBy("calicovale.host..")
                .layer("manager")
                .definedBy("calicovale.manager..")
                .layer("front")
                .definedBy("calicovale.front..")
                .layer("stitch")
                .definedBy("calicovale.stitch..")
                .layer("gossip")
                .definedBy("calicovale.gossip..")
                .layer("standin")
                .definedBy("calicovale.standin..")
                .layer("rehearsal")
                .definedBy("calicovale.rehearsal..")
                .layer("cli")
                .definedBy("calicovale.cli..")
                .whereLayer("controller")
                .mayOnlyBeAccessedByLayers("host", "manager", "front", "rehearsal", "cli")
                .whereLayer("controller")
                .mayNotAccessAnyLayer()
                .whereLayer("protocols")
                .mayNotAccessAnyLayer()
                .whereLayer("host")
                .mayOnlyAccessLayers("controller")
                .whereLayer("manager")
                .mayOnlyAccessLayers("controller", "host", "protocols")
                .whereLayer("front")
                .mayOnlyAccessLayers("controller", "host", "protocols", "stitch", "gossip")
                .whereLayer("stitch")
                .mayOnlyAccessLayers("protocols")
                .whereLayer("gossip")
                .mayOnlyAccessLayers("protocols")
                .whereLayer("standin")
                .mayOnlyAccessLayers("protocols")
                .whereLayer("rehearsal")
                .mayOnlyAccessLayers("controller", "host", "protocols", "front", "standin", "gossip")
                .check(MAIN_CLASSES);
    }

    @Test
    void decisionPackagesDoNotDependOnInputAndOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "calicovale",
                        "calicovale.host",
                        "calicovale.manager.sessions",
                        "calicovale.protocols.signal",
                        "calicovale.front.time",
                        "calicovale.front.playlist",
                        "calicovale.gossip.member",
                        "calicovale.gossip.claims",
                        "calicovale.gossip.wire",
                        "calicovale.gossip.sim",
                        "calicovale.rehearsal.judge")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..", "java.nio.channels..", "java.nio.file..", "calicovale.protocols.net..")
                .check(MAIN_CLASSES);
    }

    @Test
    void frontPackagesForBoxesAndDirectoryDoNotDependOnPlayers() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "calicovale.front.box",
                        "calicovale.front.directory",
                        "calicovale.front.ledger",
                        "calicovale.front.peers",
                        "calicovale.front.stream",
                        "calicovale.front.time",
                        "calicovale.front.playlist")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("calicovale.front.player")
                .check(MAIN_CLASSES);
    }

    @Test
    void managerPackagesForServersAndBusDoNotDependOnViewers() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "calicovale.manager.servers",
                        "calicovale.manager.bus",
                        "calicovale.manager.config",
                        "calicovale.manager.sessions")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("calicovale.manager.viewers")
                .check(MAIN_CLASSES);
    }

    @Test
    void protocolPackagesDoNotDependOnEachOther() {
        classes()
                .that()
                .resideInAPackage("calicovale.protocols.hls")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("calicovale.protocols.hls", "java..")
                .check(MAIN_CLASSES);
        classes()
                .that()
                .resideInAPackage("calicovale.protocols.signal")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("calicovale.protocols.signal", "java..")
                .check(MAIN_CLASSES);
        noClasses()
                .that()
                .resideInAPackage("calicovale.protocols.net")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "calicovale.protocols.http", "calicovale.protocols.hls", "calicovale.protocols.signal")
                .check(MAIN_CLASSES);
    }
}
