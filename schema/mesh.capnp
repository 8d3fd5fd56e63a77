@0xd2c4e6f80a1b3c5d;
# Messages between the nodes. Node-to-node messages follow the rule for
# compatible change in config.capnp.

using Cxx = import "/capnp/c++.capnp";
using Config = import "config.capnp";
$Cxx.namespace("cassiabend::schema");

struct VersionMark {
  # Names one version of the configuration.
  number @0 :UInt64;
  hash @1 :Config.Id128;
}

enum MemberStatus {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

enum UpstreamState {
  none @0;
  warming @1;
  serving @2;
  draining @3;
}

struct Member {
  ip @0 :Text;
  peerPort @1 :UInt16;
  callPort @2 :UInt16;
  region @3 :Text;
  zone @4 :Text;
  startId @5 :UInt64;
  # Greater for each start of the process.
  revision @6 :UInt32;
  # Greater for each statement of the same process about itself.
  status @7 :MemberStatus;
  service @8 :Text;
  slots @9 :UInt32;
  upstreamState @10 :UpstreamState;
  isReader @11 :Bool;
  # Holds one of its zone's reader leases.
  upstreamVersion @12 :Text;
  # Version of the upstream's software; empty when it states none.
}

enum UseScope {
  below @0;
  elsewhere @1;
  zone @2;
  none @3;
}

struct TeamUse {
  # What some nodes have admitted of one team's calls within the allotment window.
  team @0 :UInt64;
  # Hash of the team's name.
  admitted @1 :UInt64;
  # Calls admitted by nodes that are heard.
  demandPer1000s @2 :UInt64;
  # Calls that asked to be admitted there, per 1,000 s.
  held @3 :UInt32;
  # Calls that nodes that are not heard may have admitted.
}

enum RolloutPhase {
  running @0;
  completed @1;
  rolledBack @2;
}

struct Rollout {
  # State of the newest roll-out of a service, as the sender knows it.
  service @0 :Text;
  targetVersion @1 :Text;
  durationMs @2 :UInt32;
  orderRevision @3 :Int64;
  # Revision of the order in the store.
  step @4 :UInt32;
  sharePermille @5 :UInt16;
  phase @6 :RolloutPhase;
  orderAgeMs @7 :UInt32;
  # Time since the order became known.
  vouchedAgeMs @8 :UInt32;
  # Time since a node that decides on it vouched for this state; 0xffffffff for
  # never.
}

struct VersionCounts {
  # Answers of one version.
  failures @0 :UInt32;
  times @1 :List(UInt32);
  # Other answers by the binary logarithm of their time in milliseconds.
}

struct VersionUse {
  # How the versions of a roll-out answer the sender's calls.
  struct Class {
    requestClass @0 :UInt64;
    # Hash of the request class.
    oldVersion @1 :VersionCounts;
    newVersion @2 :VersionCounts;
  }
  service @0 :Text;
  orderRevision @1 :Int64;
  step @2 :UInt32;
  usesOld @3 :Bool;
  # Whether calls of the sender run at upstreams of other versions.
  classes @4 :List(Class);
}

struct Datagram {
  # One UDP message.
  fromIp @0 :Text;
  fromPort @1 :UInt16;
  fromStartId @2 :UInt64;
  mark @3 :VersionMark;
  # The sender's version in force.
  confirmedAgeMs @4 :UInt32;
  # Age of the sender's newest confirmation of the store's head;
  # 0xffffffff for none.
  loadPermille @5 :UInt16;
  # Outstanding calls in thousandths of the slots.
  updates @6 :List(Member);
  body :union {
    ping @7 :UInt32;
    # Sequence number.
    ack @8 :UInt32;
    pingRequest :group {
      sequence @9 :UInt32;
      targetIp @10 :Text;
      targetPort @11 :UInt16;
    }
    beat @12 :Void;
    # From a parent to a child of the dissemination tree.
    join @13 :Void;
    # Asks for the members that the receiver knows.
    attach @14 :Void;
    # From a child to the parent that it has chosen.
    versionReport @22 :List(VersionUse);
    # To a node that decides on roll-outs; empty in its answer.
    uses :group {
      # Reports `teamUses`.
      scope @25 :UseScope;
      unknownPpm @26 :UInt32;
      # Share of all nodes, in millionths, whose use in the window is unknown.
    }
  }
  attachSequence @15 :UInt32;
  # With `attach`: its number. With `beat`: that of the receiver's newest attach.
  heldMs @16 :UInt32;
  # With `beat`: time since that attach was received.
  unreachableZones @17 :List(Text);
  # With `beat`: zones that the sender's zone cannot reach.
  membersDigest @18 :UInt64;
  # Digest of the live members that the sender knows; 0 for none stated.
  followedAgeMs @19 :UInt32 = 0xffffffff;
  # With `beat`: time since a node that follows the store's head was heard;
  # 0xffffffff for never.
  timePercent @20 :UInt16;
  # Time that work takes at the sender's upstream, in hundredths of the usual;
  # 0 when it states none.
  teamUses @21 :List(TeamUse);
  rollouts @23 :List(Rollout);
  # With `beat` and `versionReport`: roll-outs that the sender knows.
  storeEra @24 :UInt64;
  # Newest era of the store that the sender knows, where the first is 1; 0 if it
  # knows none.
}

struct ConfigUpdate {
  # A new version, as a delta or whole.
  mark @0 :VersionMark;
  union {
    none @1 :Void;
    # The receiver has the newest version that the sender knows.
    delta @2 :Config.ConfigDelta;
    full @3 :Config.Config;
    busy @4 :UInt32;
    # The sender is at its limit; ask again after so many milliseconds.
    packedDelta @6 :Data;
    # A Config.ConfigDelta in the packed form, as one zstd frame.
    packedFull @7 :Data;
    # A Config.Config in the same form.
  }
  confirmedAgeMs @5 :UInt32;
}

interface Peer {
  push @0 (update :ConfigUpdate) -> (mark :VersionMark);
  # Hands over a version; returns the receiver's version afterwards.
  pull @1 (have :VersionMark) -> (update :ConfigUpdate);
  # Asks for whatever is newer than `have`.
  members @2 () -> (members :List(Member));
  # All members that the node knows.
  drain @3 () -> ();
  # Starts a graceful shutdown of the node's upstream.
}
