@0xb3f1c26ad2e94a57;
# Messages between entries and agents. Identifiers are text and checked on arrival.
# Regenerate with crates/wire/schema/generate.sh; the generated code is committed.

struct Resources {
  cpuMilli @0 :UInt32;
  memoryMib @1 :UInt32;
  accelerators @2 :UInt32;
}

struct AttemptRef {
  task @0 :Text;
  attempt @1 :UInt32;
}

struct EntryRef {
  entry @0 :Text;
  incarnation @1 :UInt64;
}

struct AgentHello {
  agent @0 :Text;
  incarnation @1 :UInt64;
  availabilityZone @2 :Text;
  rack @3 :Text;
  requestAddress @4 :Text;
  capacity @5 :Resources;
  cell @6 :UInt32;
}

struct EndpointReport {
  service @0 :Text;
  slots @1 :UInt32;
  connections @2 :UInt32;
  inFlight @3 :UInt32;
  leaving @4 :Bool;
  incarnation @5 :UInt64;
  serviceTimeUs @6 :UInt64;
  servedRequests @7 :UInt64;
  servedTotalUs @8 :UInt64;
}

struct RunningAttempt {
  attempt @0 :AttemptRef;
  profile @1 :Text;
  resources @2 :Resources;
  throttlePercent @3 :UInt8;
  progress @4 :UInt64;
  frozen @5 :Bool;
}

struct AttemptReport {
  attempt @0 :AttemptRef;
  union {
    stopped :group {
      started @1 :Bool;
      checkpoint @2 :Text;  # empty: none
    }
    succeeded @3 :Void;
    failed @4 :Text;
  }
}

struct UsageSample {
  attempt @0 :AttemptRef;
  profile @1 :Text;
  ageMs @2 :UInt64;
  intervalMs @3 :UInt64;
  cpuMilli @4 :UInt32;
  memoryMib @5 :UInt32;
  slowdown @6 :Float64;
}

struct SyncRequest {
  agent @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  held @3 :List(AttemptRef);
  reports @4 :List(AttemptReport);
  free @5 :Resources;
  running @6 :List(RunningAttempt);
  endpoints @7 :List(EndpointReport);
  usage @8 :List(UsageSample);
  configVersion @9 :UInt64;
  waitMs @10 :UInt64;  # the entry may hold its reply this long if it has no command
}

struct Promise {
  by @0 :EntryRef;
  view @1 :UInt64;
  setVersion @2 :UInt64;
  set @3 :List(EntryRef);
  except @4 :List(AttemptRef);
}

struct TaskSpec {
  service @0 :Text;
  profile @1 :Text;
  team @2 :Text;
  kind @3 :Kind;
  idempotent @4 :Bool;
  resources @5 :Resources;
  runMs @6 :UInt64;
  priority @7 :UInt8;
  attempts @8 :UInt32;
  deadlineUnixMs @9 :UInt64;
  progressDeadlineMs @10 :UInt64;  # 0: none
  payload @11 :Data;
}

enum Kind {
  latencyCritical @0;
  batch @1;
  longRunning @2;
}

struct Command {
  attempt @0 :AttemptRef;
  union {
    start :group {
      agentIncarnation @1 :UInt64;
      spec @2 :TaskSpec;
      checkpoint @3 :Text;  # empty: none
    }
    stop @4 :UInt64;  # the run of the agent that the assignment names
    throttle @5 :UInt8;  # percent
    checkpoint @6 :Void;
  }
}

struct EntryAddress {
  entry @0 :EntryRef;
  address @1 :Text;
}

struct SyncReply {
  by @0 :EntryRef;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  view @3 :UInt64;
  notAssigned @4 :List(AttemptRef);
  cellReadAfter @5 :UInt64;  # 0: none
  configReadAfter @6 :UInt64;  # 0: none
  configVersion @7 :UInt64;
  zoneOut @8 :Bool;
  promise @9 :Promise;  # null: none
  commands @10 :List(Command);
  accepted @11 :List(AttemptRef);
  entries @12 :List(EntryAddress);
  leaseMs @13 :UInt64;
  silenceMs @14 :UInt64;
  driftPpm @15 :UInt32;
}

enum KeyAnswer {
  refused @0;  # never seen, and refused from now on
  seen @1;
  unknown @2;  # an earlier run of the agent may have seen it
}

interface EntryPeer {
  challenge @0 () -> (nonce :Data);
  attach @1 (hello :AgentHello, keyId :Text, mac :Data, control :AgentControl) -> (session :Session);
  # Refused by any other run than `of`, so that no counts come twice. `book` is a core BurnTracker, `takenMs` the time of the
  # copy on the clock of the entry that answers.
  burn @2 (of :EntryRef, keyId :Text, mac :Data) -> (takenMs :UInt64, book :Data);
  # One chunk of the sealed image of a stream's state, for an entry that starts while the log is down. `asOf` 0 asks for
  # the newest; `from` and `address` are the caller's own; `ageMs` is how long ago the view was last known fresh.
  copy @3 (stream :Text, asOf :UInt64, index :UInt32, from :EntryRef, address :Text, keyId :Text, mac :Data)
    -> (asOf :UInt64, count :UInt32, bytes :Data, ageMs :UInt64);
}

interface Session {
  sync @0 (request :SyncRequest) -> (reply :SyncReply);
}

interface AgentControl {
  reserve @0 (attempt :AttemptRef, resources :Resources, holdMs :UInt64) -> (granted :Bool, reason :Text);
  release @1 (attempt :AttemptRef) -> ();
  refuseKey @2 (key :Text, claimOffset :UInt64, agentIncarnation :UInt64) -> (answer :KeyAnswer);
}
