#include "cassiabend/node/adapter.h"

namespace cassiabend {
namespace {

class Own final : public PlatformAdapter {
 public:
  [[nodiscard]] ControlMessage ReadControl(
      const OpsRequest& /*request*/) const override {
    return {.report = std::nullopt,
            .fault = "upstreams send no heartbeats",
            .answer = {404, "text/plain", "upstreams send no heartbeats\n"}};
  }
  [[nodiscard]] bool AsksReadiness(const OpsRequest& request) const override {
    return request.path == "/readyz";
  }
  void Translate(Settings* /*settings*/) const override {}
};

}  // namespace

const PlatformAdapter& OwnInterfaces() {
  static const Own adapter;
  return adapter;
}

}  // namespace cassiabend
