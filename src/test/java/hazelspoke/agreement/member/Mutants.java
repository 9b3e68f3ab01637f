package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.member.FleetSimulation.Mutant;
import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.store.Disk;
import hazelspoke.agreement.wire.MalformedException;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Fleets that lack one guard each. */
enum Mutants {
  SAYS_SYNCED_AND_IS_NOT {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.disk = Unsynced::new;
      return mutant;
    }
  },
  ALLOWS_FOR_NO_DRIFT {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.drift = 0;
      return mutant;
    }
  },
  A_LOST_FOLDER_KEEPS_ITS_NAME {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.lostDiskKeepsItsName = true;
      return mutant;
    }
  },
  A_REPEAT_IS_NUMBERED_ANEW {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.numbersAnew = true;
      return mutant;
    }
  },
  A_LEADER_ANSWERS_UNCONFIRMED {
    @Override
    Mutant make() {
      return engine(
          setup ->
              new Engine(setup) {
                @Override
                public CompletableFuture<Long> confirmLeadership() {
                  return CompletableFuture.completedFuture(record().index());
                }
              });
    }
  },
  A_LEADER_ANSWERS_BEFORE_IT_HAS_APPLIED {
    @Override
    long first() {
      return 1_600;
    }

    @Override
    long seeds() {
      return 400;
    }

    @Override
    Mutant make() {
      return engine(
          setup ->
              new Engine(setup) {
                @Override
                protected CompletableFuture<Long> verifyApplied(long index) {
                  return CompletableFuture.completedFuture(index);
                }
              });
    }
  },
  A_VOTER_WHOSE_DISK_FAILED_GOES_ON {
    @Override
    Mutant make() {
      return engine(
          setup ->
              new Engine(setup) {
                @Override
                protected void storeFailed(IOException why) {
                  // As the engine would have it by itself.
                }
              });
    }
  },
  WHO_LEADS_ENDS_ITS_OWN_VOTE_AND_ASKS_FOR_OTHERS {
    @Override
    long first() {
      return 4_300;
    }

    @Override
    long seeds() {
      return 40;
    }

    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.parts =
          new FleetSimulation.SmallFeeds() {
            @Override
            boolean handsOverBeforeItsRemoval() {
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
  TAKES_ITS_OWN_QUESTION_FOR_A_LATER_TERM {
    @Override
    Mutant make() {
      return engine(
          setup ->
              new Engine(setup) {
                @Override
                protected boolean isLaterTerm(int receivedTerm) {
                  return receivedTerm > term();
                }
              });
    }
  },
  NEVER_STARTS_A_STUCK_ENGINE_ANEW {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.parts =
          new FleetSimulation.SmallFeeds() {
            @Override
            int stuckHeartbeats() {
              return 1_000;
            }
          };
      return mutant;
    }
  },
  REMOVES_VOTERS_DOWN_TO_ONE {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.parts =
          new FleetSimulation.SmallFeeds() {
            @Override
            int leastVoters() {
              return 1;
            }
          };
      return mutant;
    }
  },
  RENEWS_WHILE_A_LAPSE_IS_UNDER_WAY {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.parts =
          new FleetSimulation.SmallFeeds() {
            @Override
            SessionLeases terms(MemberSettings settings, long tickNanos) {
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
  A_HOLDER_COUNTS_FROM_THE_ANSWER {
    @Override
    Mutant make() {
      Mutant mutant = new Mutant();
      mutant.parts =
          new FleetSimulation.SmallFeeds() {
            @Override
            long heldUntil(MemberSettings settings, long askedAt, long now) {
              return super.heldUntil(settings, now, now);
            }
          };
      return mutant;
    }
  };

  private interface EngineMaker {
    Engine make(Engine.Setup setup) throws MalformedException;
  }

  /**
   * Where the search begins. Whoever is found once in a thousand seeds is looked for near one that
   * finds it: the engine of a fleet that lacks a guard may spin for ever, at other seeds.
   */
  long first() {
    return 0;
  }

  /** Of so many seeds one has to find it. */
  long seeds() {
    return 600;
  }

  abstract Mutant make();

  private static Mutant engine(EngineMaker maker) {
    Mutant mutant = new Mutant();
    mutant.parts =
        new FleetSimulation.SmallFeeds() {
          @Override
          Engine engine(Engine.Setup setup) throws MalformedException {
            return maker.make(setup);
          }
        };
    return mutant;
  }

  /** A disk whose syncs return at once. */
  private record Unsynced(Disk disk) implements Disk {
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
