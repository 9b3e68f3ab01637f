package hazelspoke.emulator.model;

import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Script;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Everything that a script and a seed determine before a rehearsal starts: the hosts, all requests,
 * and the hosts and gateways that each fault affects. Two worlds of the same script and seed are
 * equal and have the same digest.
 *
 * @param gatewaySites the site index of each gateway, by gateway number
 * @param affected the names that each fault affects, in the order of the script
 */
public record World(
    Script script,
    long seed,
    List<ServerSpec> servers,
    List<Integer> gatewaySites,
    List<Arrival> arrivals,
    List<List<String>> affected,
    String digest) {

  /** Draws the world of a script from a seed. */
  public static World draw(Script script, long seed) {
    List<ServerSpec> servers = servers(script, seed);
    List<Integer> gatewaySites = new ArrayList<>();
    for (int i = 0; i < script.fleet().gateways(); i++) {
      gatewaySites.add(i % script.fleet().sites().size());
    }
    List<Arrival> arrivals = new Workload(script, seed).draw();
    List<List<String>> affected = new ArrayList<>();
    SplittableRandom random = SeededRandom.stream(seed, "faults");
    for (Fault fault : script.faults()) {
      affected.add(affected(fault, script, servers, gatewaySites, random));
    }
    String digest = digest(servers, arrivals, script.faults(), affected);
    return new World(
        script, seed, servers, List.copyOf(gatewaySites), arrivals, List.copyOf(affected), digest);
  }

  private static List<ServerSpec> servers(Script script, long seed) {
    Script.Fleet fleet = script.fleet();
    SplittableRandom random = SeededRandom.stream(seed, "servers");
    double warmGain = SeededRandom.between(random, 0.25, 0.7);
    double warmMs = SeededRandom.between(random, 3_900, 12_000);
    double all = fleet.large() + fleet.medium() + fleet.small();
    List<String> kinds = new ArrayList<>();
    for (int i = 0; i < fleet.servers(); i++) {
      double position = (i + 0.5) / fleet.servers() * all;
      kinds.add(
          position < fleet.large()
              ? "large"
              : position < fleet.large() + fleet.medium() ? "medium" : "small");
    }
    // Fisher-Yates shuffle: the assignment of kinds is random, their counts are fixed.
    for (int i = kinds.size() - 1; i > 0; i--) {
      Collections.swap(kinds, i, random.nextInt(i + 1));
    }
    List<ServerSpec> out = new ArrayList<>();
    for (int i = 0; i < kinds.size(); i++) {
      int site = i % fleet.sites().size();
      out.add(
          ServerSpec.draw(
              "s" + (i + 1),
              site,
              kinds.get(i),
              site,
              warmGain,
              warmMs,
              fleet.coldMs(),
              random.split()));
    }
    return List.copyOf(out);
  }

  private static List<String> affected(
      Fault fault,
      Script script,
      List<ServerSpec> servers,
      List<Integer> gatewaySites,
      SplittableRandom random) {
    Fault.Target target = fault.target();
    int site = target.site() == null ? -1 : script.fleet().sites().indexOf(target.site());
    List<String> out = new ArrayList<>();
    switch (fault.kind().subject()) {
      case HOSTS -> {
        if (!target.names().isEmpty()) {
          return target.names();
        }
        boolean bySignal = fault.kind() == Fault.Kind.CRASH || fault.kind() == Fault.Kind.FREEZE;
        for (ServerSpec s : servers) {
          if ((bySignal || !script.fleet().separateProcessHosts().contains(s.name()))
              && (site < 0 || s.site() == site)
              && (target.kind() == null || s.kind().equals(target.kind()))) {
            out.add(s.name());
          }
        }
        int targetCount = (int) Math.ceil(target.share() * out.size() - 1e-9);
        while (out.size() > targetCount) {
          out.remove(random.nextInt(out.size()));
        }
      }
      case SITE -> {
        servers.stream()
            .filter(
                s -> s.site() == site && !script.fleet().separateProcessHosts().contains(s.name()))
            .forEach(s -> out.add(s.name()));
        for (int i = 0; i < gatewaySites.size(); i++) {
          if (gatewaySites.get(i) == site) {
            out.add("g" + (i + 1));
          }
        }
      }
      case GATEWAYS -> out.addAll(target.names());
      case LINKS -> {
        for (String from : orAll(target.names(), "g", script.fleet().gateways())) {
          for (String to : orAll(target.far(), "s", servers.size())) {
            if (!from.equals(to)) {
              out.add(LinkName.of(from, to));
            }
          }
        }
      }
      default -> {
        // Affects no named process.
      }
    }
    return List.copyOf(out);
  }

  private static List<String> orAll(List<String> names, String letter, int count) {
    return names.isEmpty()
        ? IntStream.rangeClosed(1, count).mapToObj(i -> letter + i).toList()
        : names;
  }

  private static String digest(
      List<ServerSpec> servers,
      List<Arrival> arrivals,
      List<Fault> faults,
      List<List<String>> affected) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      for (List<?> part : List.of(servers, arrivals, faults, affected)) {
        for (Object item : part) {
          sha.update(item.toString().getBytes(StandardCharsets.UTF_8));
        }
      }
      return HexFormat.of().formatHex(sha.digest()).substring(0, 16);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }
}
