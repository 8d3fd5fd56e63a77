#include "cassiabend/core/weighted_service.h"

#include <cstdint>

namespace cassiabend {

std::string PickWeightedService(const Route& route, Random* random) {
  if (route.split.empty()) {
    return route.service;
  }
  std::uint64_t total = 0;
  for (const RouteTarget& it : route.split) {
    total += it.weight;
  }
  std::uint64_t left = random->Below(total);
  for (const RouteTarget& it : route.split) {
    if (left < it.weight) {
      return it.service;
    }
    left -= it.weight;
  }
  return route.split.back().service;
}

}  // namespace cassiabend
