#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
