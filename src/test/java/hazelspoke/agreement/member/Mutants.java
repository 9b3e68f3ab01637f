package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.member.FleetSimulation.Mutant;
import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.store.Disk;
import hazelspoke.agreement.wire.MalformedException;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Fleets that each lack one safeguard. */
enum Mutants {
  REPORTS_SYNC_WITHOUT_SYNCING {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.disk = UnsyncedDisk::new;
      return mutant;
    }
  },
  IGNORES_CLOCK_DRIFT {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.drift = 0;
      return mutant;
    }
  },
  LOST_STORE_KEEPS_ITS_ID {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.lostDiskKeepsStoreId = true;
      return mutant;
    }
  },
  REPEATED_COMMAND_GETS_A_NEW_ORIGIN {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.repeatsUseNewOrigin = true;
      return mutant;
    }
  },
  LEADER_REPLIES_UNCONFIRMED {
    @Override
    Mutant make() {
      return withEngine(
          setup ->
              new Engine(setup) {
                @Override
                public CompletableFuture<Long> confirmLeadership() {
                  return CompletableFuture.completedFuture(record().index());
                }
              });
    }
  },
  LEADER_REPLIES_BEFORE_APPLYING {
    @Override
    long firstSeed() {
      return 1_600;
    }

    @Override
    long seedCount() {
      return 400;
    }

    @Override
    Mutant make() {
      return withEngine(
          setup ->
              new Engine(setup) {
                @Override
                protected CompletableFuture<Long> verifyApplied(long index) {
                  return CompletableFuture.completedFuture(index);
                }
              });
    }
  },
  VOTER_CONTINUES_AFTER_DISK_FAILURE {
    @Override
    Mutant make() {
      return withEngine(
          setup ->
              new Engine(setup) {
                @Override
                protected void storeFailed(IOException why) {
                  // The engine continues, as MicroRaft would by itself.
                }
              });
    }
  },
  REMOVED_LEADER_REQUESTS_VOTES {
    @Override
    long firstSeed() {
      return 4_300;
    }

    @Override
    long seedCount() {
      return 40;
    }

    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.components =
          new FleetSimulation.SmallFeeds() {
            @Override
            boolean transfersLeadershipBeforeOwnRemoval() {
              return false;
            }

            @Override
            Engine engine(Engine.Setup setup) throws MalformedException {
              return new Engine(setup) {
                @Override
                protected boolean mayRequestVotes() {
                  return true;
                }
              };
            }
          };
      return mutant;
    }
  },
  ADOPTS_TERM_OF_ITS_OWN_PRE_VOTE {
    @Override
    Mutant make() {
      return withEngine(
          setup ->
              new Engine(setup) {
                @Override
                protected boolean isLaterTerm(int receivedTerm) {
                  return receivedTerm > term();
                }
              });
    }
  },
  NEVER_RESTARTS_STUCK_ENGINE {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.components =
          new FleetSimulation.SmallFeeds() {
            @Override
            int heartbeatsBeforeRestart() {
              return 1_000;
            }
          };
      return mutant;
    }
  },
  REMOVES_ALL_VOTERS_BUT_ONE {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.components =
          new FleetSimulation.SmallFeeds() {
            @Override
            int minVoters() {
              return 1;
            }
          };
      return mutant;
    }
  },
  RENEWS_DURING_PENDING_LAPSE {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.components =
          new FleetSimulation.SmallFeeds() {
            @Override
            SessionLeases leases(MemberSettings settings, long tickNanos) {
              return new SessionLeases(settings.leaseNanos(), settings.drift(), tickNanos) {
                @Override
                boolean isLapsing(Session session) {
                  return false;
                }
              };
            }
          };
      return mutant;
    }
  },
  LEASE_COUNTS_FROM_THE_REPLY {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.components =
          new FleetSimulation.SmallFeeds() {
            @Override
            long leaseExpiryNanos(MemberSettings settings, long requestedNanos, long grantedNanos) {
              return super.leaseExpiryNanos(settings, grantedNanos, grantedNanos);
            }
          };
      return mutant;
    }
  };

  private interface EngineMaker {
    Engine make(Engine.Setup setup) throws MalformedException;
  }

  /**
   * The first seed to try. A mutant that only one in a thousand seeds finds is searched near such a
   * seed, as at other seeds the engine of a fleet without the safeguard may loop forever.
   */
  long firstSeed() {
    return 0;
  }

  /** The number of seeds of which at least one has to find the mutant. */
  long seedCount() {
    return 600;
  }

  abstract Mutant make();

  private static Mutant withEngine(EngineMaker maker) {
    Mutant mutant = new Mutant();
    mutant.components =
        new FleetSimulation.SmallFeeds() {
          @Override
          Engine engine(Engine.Setup setup) throws MalformedException {
            return maker.make(setup);
          }
        };
    return mutant;
  }

  /** A disk whose file syncs do nothing. */
  private record UnsyncedDisk(Disk disk) implements Disk {
    @Override
    public Set<String> list() throws IOException {
      return disk.list();
    }

    @Override
    public byte[] read(String name) throws IOException {
      return disk.read(name);
    }

    @Override
    public Output create(String name) throws IOException {
      Output out = disk.create(name);
      return new Output() {
        @Override
        public void write(byte[] bytes) throws IOException {
          out.write(bytes);
        }

        @Override
        public void sync() {}

        @Override
        public void close() throws IOException {
          out.close();
        }
      };
    }

    @Override
    public void rename(String from, String to) throws IOException {
      disk.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
      disk.delete(name);
    }

    @Override
    public void syncDirectory() throws IOException {
      disk.syncDirectory();
    }
  }
}
