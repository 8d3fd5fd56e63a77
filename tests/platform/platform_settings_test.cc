#include "platform/platform_settings.h"

#include <doctest/doctest.h>

#include "cassiabend/base/error.h"

namespace cassiabend::platform {
namespace {

Settings SampleSettings() {
  Settings settings;
  settings.node.ip = "10.1.0.8";
  settings.platform = {.adapter = "mesh",
                       .upstream_address = "10.1.0.8:8301",
                       .peer_call_address = "10.1.0.8:8300",
                       .caller_address = "10.1.0.8:8304",
                       .readiness_address = "10.1.0.8:8302",
                       .control_address = "10.1.0.8:8306",
                       .heartbeat = "1500ms",
                       .bounds =
                           "grace=6s,retry_budget_ratio=0.2,"
                           "budget_slack=58,config_apply=2000ms,new=1,",
                       .link_mbps = "13.3",
                       .first_start = "false"};
  return settings;
}

TEST_CASE("the platform's values are translated to the node's settings") {
  Settings settings = SampleSettings();
  TranslateSettings(&settings);
  CHECK(settings.upstream.port == 8301);
  CHECK(settings.node.call_port == 8300);
  CHECK(settings.http.caller_port == 8304);
  CHECK(settings.node.readiness_port == 8302);
  CHECK(settings.node.control_port == 8306);
  CHECK(settings.calls.upstream_heartbeat == Milliseconds(1'500));
  CHECK(settings.calls.ask_upstream == 1);
  CHECK(settings.node.shutdown_timeout < Seconds(6));
  CHECK(settings.node.shutdown_timeout > Seconds(5));
  CHECK(settings.http.link_kilobits == 13'300);
  CHECK(settings.fleet.follow_limit < Seconds(2));
  CHECK(settings.calls.unknown_key_age == Seconds(2));
  // The node must not retry more than the platform allows.
  CHECK(settings.calls.retry_budget_permille <= 200);
  CHECK(settings.calls.retry_budget_permille > 0);
  CHECK(settings.calls.retry_burst <= 58);
  CHECK(settings.calls.retry_burst > 0);
  // Without bounds for them there are no roll-outs.
  CHECK(settings.calls.gate_versions == 0);
  CHECK(settings.fleet.rollout_codec == nullptr);
}

TEST_CASE("bounds of roll-outs switch them on") {
  Settings settings = SampleSettings();
  settings.platform.bounds = "expose_share=0.1,expose_slack=50,rollback=5000ms";
  TranslateSettings(&settings);
  CHECK(settings.calls.gate_versions == 1);
  CHECK(settings.calls.rollout_vouch_limit < Seconds(5));
  CHECK(settings.fleet.rollout_permille == 100);
  CHECK(settings.fleet.rollout_slack == 50);
  CHECK(settings.fleet.rollout_codec != nullptr);
}

TEST_CASE("keyed calls end with the confirmation where the platform says so") {
  const auto age = [](const char* bounds) {
    Settings settings = SampleSettings();
    settings.platform.bounds = bounds;
    TranslateSettings(&settings);
    return settings.calls.keyed_call_age;
  };
  CHECK(age("revoke_fail_closed=true,revoke=5000ms,") == Seconds(5));
  CHECK(age("revoke=4s,revoke_fail_closed=true,") == Seconds(4));
  CHECK(age("revoke_fail_closed=false,revoke=5000ms,") == Milliseconds(0));
  CHECK(age("revoke=5000ms,") == Milliseconds(0));
  CHECK(age("config_apply=3s,") == Milliseconds(0));
}

TEST_CASE("the platform's bounds of allotments are taken as they are") {
  Settings settings = SampleSettings();
  settings.platform.bounds =
      "quota_window=4s,quota_overage=0.15,quota_tolerance=30";
  TranslateSettings(&settings);
  CHECK(settings.calls.allotment_window == Seconds(4));
  CHECK(settings.calls.allotment_overage_permille == 150);
  CHECK(settings.calls.allotment_tolerance == 30);
}

TEST_CASE("an invalid value is refused with the name of its field") {
  struct Row {
    std::string PlatformSettings::*field;
    const char* value;
    const char* where;
  };
  const Row rows[] = {
      {&PlatformSettings::upstream_address, "10.1.0.8",
       "platform.upstream_address"},
      {&PlatformSettings::caller_address, "", "platform.caller_address"},
      {&PlatformSettings::heartbeat, "1500", "platform.heartbeat"},
      {&PlatformSettings::bounds, "6s,3s", "platform.bounds"},
      {&PlatformSettings::bounds, "grace=soon", "platform.bounds.grace"},
      {&PlatformSettings::bounds, "budget_slack=x",
       "platform.bounds.budget_slack"},
      {&PlatformSettings::bounds, "revoke_fail_closed=true,revoke=soon",
       "platform.bounds.revoke"},
      {&PlatformSettings::link_mbps, "wide", "platform.link_mbps"},
      {&PlatformSettings::link_mbps, "1e99", "platform.link_mbps"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.where);
    Settings settings = SampleSettings();
    settings.platform.*row.field = row.value;
    try {
      TranslateSettings(&settings);
      FAIL_CHECK("the invalid value was accepted");
    } catch (const SettingsError& e) {
      CHECK(e.where() == row.where);
    }
  }
}

}  // namespace
}  // namespace cassiabend::platform
