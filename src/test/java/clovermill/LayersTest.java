package clovermill;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The allowed dependencies between the packages, as docs/ARCHITECTURE.md shows them: arrows only point downwards. */
class LayersTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("clovermill");

    /** What decisions must not touch: sockets, files, threads, locks. */
    private static final String[] INPUT_OUTPUT_AND_THREADS = {"java.nio..", "java.net..", "java.io..",
        "clovermill.runtime..", "clovermill.storage..", "java.util.concurrent.."};

    @Test
    void planesDependOnlyOnThoseBelowThem() {
        layeredArchitecture().consideringOnlyDependenciesInLayers()
                .layer("cli").definedBy("clovermill.cli..")
                .layer("director").definedBy("clovermill.director..")
                .layer("simulation").definedBy("clovermill.simulation..")
                .layer("controlplane").definedBy("clovermill.controlplane..")
                .layer("ledger").definedBy("clovermill.ledger..")
                .layer("dataplane").definedBy("clovermill.dataplane..")
                .layer("config").definedBy("clovermill.config..")
                .layer("routing").definedBy("clovermill.routing", "clovermill.routing.stats..",
                        "clovermill.routing.load..")
                .layer("api").definedBy("clovermill.routing.api..")
                .layer("runtime").definedBy("clovermill.runtime..")
                .layer("storage").definedBy("clovermill.storage..")
                .whereLayer("cli").mayNotBeAccessedByAnyLayer()
                .whereLayer("director").mayOnlyBeAccessedByLayers("cli")
                .whereLayer("simulation").mayOnlyBeAccessedByLayers("cli")
                .whereLayer("controlplane").mayOnlyBeAccessedByLayers("director", "simulation")
                .whereLayer("ledger").mayOnlyBeAccessedByLayers("cli", "director")
                .whereLayer("dataplane").mayOnlyBeAccessedByLayers("controlplane", "ledger", "director")
                .whereLayer("routing").mayOnlyBeAccessedByLayers("director", "simulation")
                .whereLayer("config").mayOnlyBeAccessedByLayers("cli", "director", "simulation", "controlplane",
                        "ledger", "dataplane")
                .whereLayer("api").mayOnlyBeAccessedByLayers("director", "simulation", "controlplane", "ledger",
                        "dataplane", "config", "routing")
                .whereLayer("runtime").mayOnlyBeAccessedByLayers("cli", "director", "simulation", "controlplane",
                        "ledger", "dataplane")
                .whereLayer("storage").mayOnlyBeAccessedByLayers("cli", "director", "simulation", "controlplane",
                        "ledger")
                .check(CLASSES);
    }

    @Test
    void decisionsDoNoInputOutputAndStartNoThread() {
        noClasses().that().resideInAPackage("..decide..").should()
                .dependOnClassesThat().resideInAnyPackage(INPUT_OUTPUT_AND_THREADS)
                .orShould().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
        noClasses().that().resideInAPackage("clovermill.routing..").should()
                .dependOnClassesThat().resideInAnyPackage(INPUT_OUTPUT_AND_THREADS)
                .orShould().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }

    @Test
    void theApiStatisticsAndLoadEstimatesKnowNoDecisions() {
        noClasses().that().resideInAPackage("clovermill.routing.api..").should()
                .dependOnClassesThat().resideInAnyPackage("clovermill.routing", "clovermill.routing.stats..",
                        "clovermill.routing.load..")
                .check(CLASSES);
        noClasses().that().resideInAnyPackage("clovermill.routing.stats..", "clovermill.routing.load..").should()
                .dependOnClassesThat().resideInAnyPackage("clovermill.routing", "clovermill.routing.api..")
                .check(CLASSES);
    }

    @Test
    void theRequestCoreKnowsNoServerAndNoClientProtocol() {
        noClasses().that().resideInAPackage("clovermill.dataplane.proxy..").should()
                .dependOnClassesThat().resideInAnyPackage("clovermill.dataplane.server..",
                        "clovermill.dataplane.upstream..")
                .check(CLASSES);
    }

    @Test
    void onlyTheCommandLineUsesItsLibraries() {
        noClasses().that().resideOutsideOfPackage("clovermill.cli..").should()
                .dependOnClassesThat().resideInAnyPackage("picocli..", "me.tongfei..").check(CLASSES);
    }

    @Test
    void consensusKnowsNoneOfItsUsers() {
        noClasses().that().resideInAPackage("clovermill.controlplane.consensus..").should()
                .dependOnClassesThat(com.tngtech.archunit.core.domain.JavaClass.Predicates
                        .resideInAPackage("clovermill..")
                        .and(com.tngtech.archunit.base.DescribedPredicate.not(
                                com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage(
                                        "clovermill.controlplane.consensus..", "clovermill.storage.."))))
                .check(CLASSES);
    }

    @Test
    void theClientServerAndTheUpstreamPoolDoNotKnowEachOther() {
        slices().matching("clovermill.dataplane.(server|upstream)..").should().notDependOnEachOther().check(CLASSES);
    }

    @Test
    void subsystemsOfTheControlPlaneDoNotKnowOneAnother() {
        slices().matching("clovermill.controlplane.(discovery|reload|admin|outage|handover|gossip|placement)..")
                .should().notDependOnEachOther()
                .ignoreDependency(clovermill.controlplane.discovery.EndpointRegistry.class,
                        clovermill.controlplane.outage.OutageRegistry.class)
                .check(CLASSES);
        slices().matching("clovermill.controlplane.(policystore|eventlog|discovery|reload|admin|outage|handover)..")
                .should().notDependOnEachOther()
                .ignoreDependency(clovermill.controlplane.discovery.EndpointRegistry.class,
                        clovermill.controlplane.outage.OutageRegistry.class)
                .check(CLASSES);
    }
}
