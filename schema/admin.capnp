@0xa9b8c7d6e5f40312;
# The operators' administration API. Every node serves it.
#
# Rule for compatible change: fields, methods and enumerants are only added, at
# the end, and an absent value keeps the earlier meaning. Clients ignore what
# they do not know. Numbers and types never change.

using Cxx = import "/capnp/c++.capnp";
using Config = import "config.capnp";
using Mesh = import "mesh.capnp";
$Cxx.namespace("cassiabend::schema");

enum ErrorCode {
  ok @0;
  conflict @1;
  # Somebody else changed the same item first.
  invalid @2;
  # The change breaks a rule; `path` names the field.
  storeUnavailable @3;
  # The change was not accepted; it is safe to send it again.
  outcomeUnknown @4;
  # The change may have been accepted: send it again with the same change id.
  notAuthorised @5;
  storeBehind @6;
  # The store holds an older version than the fleet; see `recover`.
  notFound @7;
  busy @8;
  # Too many changes are waiting; nothing was written.
}

struct Error {
  code @0 :ErrorCode;
  path @1 :Text;
  # Field or item concerned, for example "routes[orders-eu].service".
  reason @2 :Text;
  conflictNumber @3 :UInt64;
  # With `conflict`: the version that changed the item.
  changeId @4 :Config.Id128;
}

struct Change {
  id @0 :Config.Id128;
  # Chosen by the caller; the same id is the same change.
  edits @1 :List(Config.Edit);
  dryRun @2 :Bool;
  # Only checks the change.
}

struct NodeStatus {
  member @0 :Mesh.Member;
  mark @1 :Mesh.VersionMark;
  confirmedAgeMs @2 :UInt32;
  # 0xffffffff when the node has no confirmation.
  markAgeMs @3 :UInt32;
  # Time since the answering node last heard from the member;
  # 0xffffffff for never.
}

interface Admin {
  commit @0 (token :Text, change :Change) -> (error :Error, mark :Mesh.VersionMark);
  # Accepts a change: all of its edits or none.
  config @1 (token :Text, number :UInt64) -> (error :Error, config :Config.Config);
  # The version in force, or with `number` an earlier one.
  status @2 (token :Text) -> (error :Error, mark :Mesh.VersionMark, nodes :List(NodeStatus));
  history @3 (token :Text) -> (error :Error, entries :List(Config.HistoryEntry));
  rollback @4 (token :Text, number :UInt64, changeId :Config.Id128)
      -> (error :Error, mark :Mesh.VersionMark);
  # Accepts the content of an earlier version as a new version.
  drain @5 (token :Text, ip :Text, peerPort :UInt16) -> (error :Error);
  # Starts a graceful shutdown of one node.
  recover @6 (token :Text, changeId :Config.Id128) -> (error :Error, mark :Mesh.VersionMark);
  # Publishes the fleet's newest version over an older store.
}
