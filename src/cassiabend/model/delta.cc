#include "cassiabend/model/delta.h"

#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

std::string PathOfDelta(const ConfigDelta& delta) {
  return "delta to version " + std::to_string(delta.mark.number);
}

}  // namespace

RefPtr<const Snapshot> ApplyDelta(const Snapshot& base,
                                  const ConfigDelta& delta) {
  if (base.mark() != delta.base) {
    throw ModelError("cannot apply", PathOfDelta(delta),
                     "its base is version " +
                         std::to_string(delta.base.number) + ", not " +
                         std::to_string(base.mark().number));
  }
  Config config = ApplyEditsAs(delta.mark.number, base.config(), delta.edits,
                               delta.change_id, delta.author);
  RefPtr<const Snapshot> out(new Snapshot(std::move(config)));
  if (out->mark() != delta.mark) {
    throw ModelError("cannot apply", PathOfDelta(delta),
                     "the result does not have the stated hash");
  }
  return out;
}

}  // namespace cassiabend
