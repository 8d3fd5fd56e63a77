#pragma once

namespace cassiabend {

struct Config;
struct ConfigDelta;
struct Edit;
struct QuietWindow;
struct Team;
struct Route;
struct Service;
struct Site;
struct VersionMark;
class Snapshot;

}  // namespace cassiabend
