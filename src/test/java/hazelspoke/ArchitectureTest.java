package hazelspoke;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Allowed dependencies between packages. */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("hazelspoke", "ternscale");

  /** The packages of the gateway in production. */
  private static final String[] PRODUCTION_PACKAGES = {
    "hazelspoke.core..",
    "hazelspoke.net..",
    "hazelspoke.http..",
    "hazelspoke.front..",
    "hazelspoke.back..",
    "hazelspoke.discovery..",
    "hazelspoke.node..",
    "hazelspoke.operations..",
    "hazelspoke.takeover..",
    "hazelspoke.agreement..",
    "ternscale.."
  };

  @Test
  void productionDoesNotDependOnTheEmulatorTheBenchmarkOrTheirLibraries() {
    noClasses()
        .that()
        .resideInAnyPackage(PRODUCTION_PACKAGES)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "hazelspoke.emulator..",
            "hazelspoke.bench..",
            "hazelspoke",
            "picocli..",
            "org.tomlj..",
            "org.HdrHistogram..")
        .check(CLASSES);
  }

  @Test
  void coreDependsOnNoProtocolAndNoOuterPackage() {
    classes()
        .that()
        .resideInAPackage("hazelspoke.core..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "hazelspoke.core..",
            "ternscale.api..",
            "java..",
            "io.netty.buffer..",
            "io.netty.channel",
            "io.netty.util..")
        .check(CLASSES);
  }

  /** The store must be usable in simulations: it accesses files through one interface only. */
  @Test
  void storeOfTheRecordDependsOnNoOtherPackageAndReadsNoClock() {
    classes()
        .that()
        .resideInAPackage("hazelspoke.agreement.store..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("hazelspoke.agreement.store..", "java..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("hazelspoke.agreement.store..")
        .and()
        .haveNameNotMatching(".*FileDisk.*")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.nio.channels..", "java.nio.file..", "java.time..")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Random.class)
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  /**
   * The record's logic must be usable in simulations: time, network, disk and randomness are
   * injected.
   */
  @Test
  void logicOfTheRecordReadsNoClockAndDoesNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "hazelspoke.agreement.wire..",
            "hazelspoke.agreement.record..",
            "hazelspoke.agreement.engine..",
            "hazelspoke.agreement.member..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "java.net..",
            "java.nio.file..",
            "java.nio.channels..",
            "hazelspoke.agreement.net..",
            "hazelspoke.core..",
            "hazelspoke.node..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callConstructor(Random.class)
        .orShould()
        .callMethod(Math.class, "random")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage("hazelspoke.agreement.record..", "hazelspoke.agreement.wire..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.microraft..", "hazelspoke.agreement.engine..", "hazelspoke.agreement.member..")
        .check(CLASSES);
    slices().matching("hazelspoke.agreement.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  /** Only one package depends on the Raft library, so that it can be replaced. */
  @Test
  void onlyTheEnginePackageDependsOnTheRaftLibrary() {
    noClasses()
        .that()
        .resideOutsideOfPackage("hazelspoke.agreement.engine..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("io.microraft..")
        .check(CLASSES);
  }

  /** Code that both sides of HTTP share belongs in a package that depends on neither. */
  @Test
  void frontAndBackDependNeitherOnEachOtherNorOnTheNode() {
    noClasses()
        .that()
        .resideInAnyPackage("hazelspoke.front..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("hazelspoke.back..", "hazelspoke.discovery..", "hazelspoke.node..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage("hazelspoke.back..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("hazelspoke.front..", "hazelspoke.discovery..", "hazelspoke.node..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage("hazelspoke.discovery..", "hazelspoke.http..", "hazelspoke.net..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("hazelspoke.front..", "hazelspoke.back..", "hazelspoke.node..")
        .check(CLASSES);
  }

  @Test
  void packagesHaveNoCycles() {
    slices().matching("hazelspoke.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void logicOfTheEmulatorDoesNoInputOrOutputAndReadsNoClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "hazelspoke.emulator.model..",
            "hazelspoke.emulator.judge..",
            "hazelspoke.emulator.script..",
            "hazelspoke.emulator.torment..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..", "java.io..", "java.net..", "java.nio.file..", "java.time..")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(Math.class, "random")
        .orShould()
        .callConstructor(Random.class)
        .check(CLASSES);
  }

  /** The checker must not depend on the gateway that it checks. */
  @Test
  void checkerDoesNotDependOnTheGateway() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "hazelspoke.emulator.judge..",
            "hazelspoke.emulator.model..",
            "hazelspoke.emulator.net..",
            "hazelspoke.emulator.report..",
            "hazelspoke.emulator.script..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(PRODUCTION_PACKAGES)
        .check(CLASSES);
  }

  @Test
  void packagesOfTheEmulatorHaveNoCycles() {
    slices().matching("hazelspoke.emulator.(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
