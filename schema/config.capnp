@0xb7a1c3d94e5f6021;
# Configuration values: what operators write and what nodes apply.
#
# Rule for compatible change: fields are only added, at the end, and their
# default keeps the earlier meaning; names may change, numbers and types never.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cassiabend::schema");

struct Id128 {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Site {
  # A place of work whose neighbours may hold quiet-hour orders.
  name @0 :Text;
  team @1 :Text;
  timeZone @2 :Text;
  # Zone rule with daylight saving, for example
  # "PST-08PDT,M3.2.0/02:00,M11.1.0/02:00" or "GMT+00".
  revision @3 :UInt64;
  # Version number of the configuration that last changed this item.
}

struct Service {
  # A named group of upstreams.
  name @0 :Text;
  team @1 :Text;
  revision @2 :UInt64;
  healthPath @3 :Text;
  # Path that an upstream answers health checks on; empty for the node's own
  # setting.
}

struct RouteTarget {
  # One service of a route that spreads its calls over several.
  service @0 :Text;
  weight @1 :UInt32;
}

struct CallerLimits {
  # Bounds on what callers send. Zero stands for the node's own setting.
  maxHeaderBytes @0 :UInt32;
  maxBodyBytes @1 :UInt32;
  headerTimeoutMs @2 :UInt32;
  idleTimeoutMs @3 :UInt32;
}

enum RepeatPolicy {
  repeatable @0;
  # May be run any number of times.
  once @1;
  # Runs at most once; a call may carry an order key.
}

struct Route {
  # Sends the calls that match to one service.
  name @0 :Text;
  team @1 :Text;
  host @2 :Text;
  # Exact host name; empty matches every host.
  pathPrefix @3 :Text;
  method @4 :Text;
  # Exact method; empty matches every method.
  service @5 :Text;
  requestClass @6 :Text;
  # Class for limits, shares and histograms, for example "status".
  repeat @7 :RepeatPolicy;
  timeoutMs @8 :UInt32;
  noisy @9 :Bool;
  # Work that must not start at a site during its quiet windows.
  site @10 :Text;
  # Site of noisy work; empty when `siteHeader` names it per call.
  siteHeader @11 :Text;
  longestJobSeconds @12 :UInt32;
  # Longest time that one noisy job takes.
  revision @13 :UInt64;
  split @14 :List(RouteTarget);
  # Services that share the calls by weight; empty for `service` alone.
  maxAttempts @15 :UInt32;
  # Upstreams that one call may be sent to; 0 for the node's own setting.
  latencyObjectiveMs @16 :UInt32;
  # Time within which an answer is worth most; 0 for none.
  priority @17 :UInt32;
  # Rank of the calls; 0 is served first.
  public @18 :Bool;
  # Calls need no key, where the configuration has teams.
}

struct Team {
  # A group of callers that share keys, a priority and an allotment.
  name @0 :Text;
  team @1 :Text;
  # Team whose operators may change this item.
  keyDigests @2 :List(Id128);
  # Sorted.
  hasPriority @3 :Bool;
  priority @4 :UInt32;
  # With `hasPriority`: rank of the team's calls; 0 is served first.
  ratePer1000s @5 :UInt64;
  # Calls per 1,000 s, over all nodes; 0 for no limit.
  burst @6 :UInt32;
  # Calls beyond the rate that may be saved up, over all nodes.
  revision @7 :UInt64;
}

struct QuietWindow {
  # A time during which noisy work must not run at a site.
  name @0 :Text;
  team @1 :Text;
  site @2 :Text;
  schedule :union {
    once :group {
      beginMs @3 :Int64;
      # Milliseconds since the Unix epoch, UTC; inclusive.
      endMs @4 :Int64;
      # Exclusive.
    }
    weekly :group {
      weekdays @5 :UInt8;
      # Bit 0 is Sunday, bit 6 is Saturday; the day on which it begins.
      fromMinute @6 :UInt16;
      # Minutes after local midnight; inclusive.
      toMinute @7 :UInt16;
      # Exclusive; at or before `fromMinute` it ends on the next day.
    }
  }
  revision @8 :UInt64;
}

struct Config {
  # One whole version. Lists are sorted by name.
  number @0 :UInt64;
  parent @1 :UInt64;
  changeId @2 :Id128;
  author @3 :Text;
  sites @4 :List(Site);
  services @5 :List(Service);
  routes @6 :List(Route);
  windows @7 :List(QuietWindow);
  limits @8 :CallerLimits;
  teams @9 :List(Team);
}

struct Edit {
  # One change to one item.
  union {
    putSite @0 :Site;
    putService @1 :Service;
    putRoute @2 :Route;
    putWindow @3 :QuietWindow;
    removeSite @4 :Text;
    removeService @5 :Text;
    removeRoute @6 :Text;
    removeWindow @7 :Text;
    putTeam @10 :Team;
    removeTeam @11 :Text;
  }
  checkRevision @8 :Bool;
  expectedRevision @9 :UInt64;
  # With `checkRevision`: the item's revision that the author saw, 0 for absent.
}

struct ConfigDelta {
  # Turns the version `baseNumber` into the version `number`.
  baseNumber @0 :UInt64;
  baseHash @1 :Id128;
  number @2 :UInt64;
  hash @3 :Id128;
  changeId @4 :Id128;
  author @5 :Text;
  edits @6 :List(Edit);
  restated @7 :Bool;
  # The version was written whole elsewhere: items keep the revisions that they
  # carry, and its parent is `parent`.
  parent @8 :UInt64;
}

struct CommittedChange {
  number @0 :UInt64;
  changeId @1 :Id128;
}

struct Head {
  # The value of the head key: the newest accepted version.
  number @0 :UInt64;
  hash @1 :Id128;
  valueKeys @2 :List(Text);
  # Keys of the full value's chunks, in order.
  deltaKey @3 :Text;
  # Key of the delta from the version before; empty when there is none.
  recent @4 :List(CommittedChange);
  # The newest accepted changes, newest first.
  history @5 :List(HistoryEntry);
  # Versions that can still be read, newest first.
}

struct HistoryEntry {
  number @0 :UInt64;
  hash @1 :Id128;
  changeId @2 :Id128;
  author @3 :Text;
  committedMs @4 :Int64;
  valueKeys @5 :List(Text);
}
