package hazelspoke;

import picocli.CommandLine.Command;

/** For its help: {@code adapter} alone never comes here. */
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
