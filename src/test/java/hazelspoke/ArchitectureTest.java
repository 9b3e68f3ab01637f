package hazelspoke;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which way the parts may know one another. */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("hazelspoke", "ternscale");

  @Test
  void nothingInServiceKnowsTheEmulatorOrItsLibraries() {
    noClasses()
        .that()
        .resideInAnyPackage("hazelspoke.gateway..", "ternscale..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("hazelspoke.emulator..", "hazelspoke", "picocli..", "org.tomlj..")
        .check(CLASSES);
  }

  @Test
  void theEmulatorsDecisionsDoNoInputNorOutputAndReadNoClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "hazelspoke.emulator.model..",
            "hazelspoke.emulator.judge..",
            "hazelspoke.emulator.script..")
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

  /** A judge who could look into a gateway would not count by himself. */
  @Test
  void theJudgeSeesNoGateway() {
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
        .resideInAnyPackage("hazelspoke.gateway..", "ternscale..")
        .check(CLASSES);
  }

  @Test
  void thePartsOfTheEmulatorGoInNoCircle() {
    slices().matching("hazelspoke.emulator.(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
