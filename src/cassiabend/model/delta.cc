#include "cassiabend/model/delta.h"

#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

std::string DescribeDelta(const ConfigDelta& delta) {
  return "delta to version " + std::to_string(delta.mark.number);
}

}  // namespace

RefPtr<const Snapshot> ApplyDelta(const Snapshot& base,
                                  const ConfigDelta& delta) {
  if (base.mark() != delta.base) {
    throw ModelError("cannot apply", DescribeDelta(delta),
                     "its base is version " +
                         std::to_string(delta.base.number) + ", not " +
                         std::to_string(base.mark().number));
  }
  Config config =
      delta.explicit_parent
          ? ApplyWithRevisions(base.config(), delta)
          : ApplyEditsAs(delta.mark.number, base.config(), delta.edits,
                         delta.change_id, delta.author);
  RefPtr<const Snapshot> out(new Snapshot(std::move(config)));
  if (out->mark() != delta.mark) {
    throw ModelError("cannot apply", DescribeDelta(delta),
                     "the result does not have the stated hash");
  }
  return out;
}

std::optional<ConfigDelta> ComputeDelta(const Snapshot& base,
                                        const Snapshot& next) {
  const Config& from = base.config();
  const Config& to = next.config();
  if (from.limits != to.limits || to.number <= from.number) {
    return std::nullopt;
  }
  ConfigDelta delta{.base = base.mark(),
                    .mark = next.mark(),
                    .change_id = to.change_id,
                    .author = to.author,
                    .edits = DifferenceWithRevisions(from, to),
                    .explicit_parent = to.parent};
  const std::size_t items = to.sites.size() + to.services.size() +
                            to.routes.size() + to.windows.size() +
                            to.teams.size();
  if (delta.edits.size() >= items) {
    return std::nullopt;
  }
  return delta;
}

}  // namespace cassiabend
