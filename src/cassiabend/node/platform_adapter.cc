#include "cassiabend/node/platform_adapter.h"

namespace cassiabend {
namespace {

class DefaultAdapter final : public PlatformAdapter {
 public:
  [[nodiscard]] ControlMessage ReadControlRequest(
      const OpsRequest& /*request*/) const override {
    return {.report = std::nullopt,
            .error = "upstreams send no heartbeats",
            .response = {404, "text/plain", "upstreams send no heartbeats\n"}};
  }
  [[nodiscard]] bool IsReadinessRequest(
      const OpsRequest& request) const override {
    return request.path == "/readyz";
  }
  void ApplyPlatformSettings(Settings* /*settings*/) const override {}
};

}  // namespace

const PlatformAdapter& DefaultPlatformAdapter() {
  static const DefaultAdapter adapter;
  return adapter;
}

}  // namespace cassiabend
