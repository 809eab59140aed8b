package gorsestack;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that packages depend on lower layers only, from the command line down to the decision packages, which depend on no other. */
class LayersTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("gorsestack");

    @Test
    void packagesDependOnLowerLayersOnly() {
        slices().matching("gorsestack.(*)..").should().beFreeOfCycles().check(CLASSES);
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("gorsestack..")
                .layer("main")
                .definedBy("gorsestack")
                .layer("server")
                .definedBy("gorsestack.server")
                .layer("simulator")
                .definedBy("gorsestack.simulator")
                .layer("proxy")
                .definedBy("gorsestack.proxy")
                .layer("admin")
                .definedBy("gorsestack.admin")
                .layer("wire")
                .definedBy("gorsestack.wire")
                .layer("settings")
                .definedBy("gorsestack.settings")
                .layer("recovery")
                .definedBy("gorsestack.recovery")
                .layer("fleet")
                .definedBy("gorsestack.fleet..")
                .whereLayer("fleet")
                .mayOnlyBeAccessedByLayers("server", "main")
                .layer("cli")
                .definedBy("gorsestack.cli")
                .whereLayer("cli")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("main")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("server")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("simulator")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("proxy")
                .mayOnlyBeAccessedByLayers("server")
                .whereLayer("admin")
                .mayOnlyBeAccessedByLayers("proxy", "server")
                .whereLayer("wire")
                .mayOnlyBeAccessedByLayers("admin", "proxy", "server")
                .whereLayer("recovery")
                .mayOnlyBeAccessedByLayers("admin", "proxy", "server", "cli", "fleet")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("wire", "admin", "proxy", "server", "simulator")
                .check(CLASSES);
    }

    /** Guards against decisions that cannot be replayed because they use I/O, threads or a clock of their own. */
    @Test
    void decisionPackagesUseNoInputOutputThreadsOrClock() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage("gorsestack.decision", "gorsestack.fleet")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "gorsestack.wire..",
                        "gorsestack.settings..")
                .check(CLASSES);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("gorsestack.decision")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.time..")
                .check(CLASSES);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage("gorsestack.decision", "gorsestack.fleet")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }

    /**
     * Guards against decisions and stored figures that depend on the processor: the JVM may replace these methods by instructions whose
     * results differ in the last digit.
     */
    @Test
    void computesWithStrictMathWhereResultsDependOnTheProcessor() {
        JavaClasses classesAndTests = new ClassFileImporter().importPackages("gorsestack");
        Set<String> approximated = Set.of(
                "sin", "cos", "tan", "asin", "acos", "atan", "atan2", "sinh", "cosh", "tanh", "exp", "expm1", "log",
                "log10", "log1p", "pow", "cbrt", "hypot");
        DescribedPredicate<JavaMethodCall> approximation = DescribedPredicate.describe(
                "a method of Math whose result may differ between processors",
                call -> call.getTargetOwner().isEquivalentTo(Math.class) && approximated.contains(call.getName()));
        ArchRuleDefinition.noClasses()
                .should()
                .callMethodWhere(approximation)
                .because("StrictMath gives the same result on every processor")
                .check(classesAndTests);
    }
}
