package hazelspoke;

import picocli.CommandLine.Command;

/** Provides the help of {@code adapter}; {@link Main} runs the command itself. */
@Command(
    name = "adapter",
    mixinStandardHelpOptions = true,
    description =
        "Decide for the instances whose events arrive on standard input, writing their actions to"
            + " standard output until the input ends.")
final class AdapterCommand implements Runnable {
  @Override
  public void run() {
    ternscale.adapter.Main.main(new String[] {"adapter"});
  }
}
