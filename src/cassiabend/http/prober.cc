#include "cassiabend/http/prober.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <utility>

namespace cassiabend {
namespace {

/// Bytes of a health answer that are kept; the rest is dropped.
constexpr std::size_t kMaxHealthBytes = std::size_t{4} * 1024;
constexpr std::uint16_t kOk = 200;
/// The first three probes are a tenth of the period apart, so that a running
/// upstream serves soon after its node has started.
constexpr std::uint32_t kQuickProbes = 3;
constexpr int kQuickPeriodDivisor = 10;

}  // namespace

UpstreamProbed ReadHealth(std::uint16_t status, std::string_view body) {
  constexpr std::int64_t kMaxLoad = 10'000;
  UpstreamProbed probed{.healthy = status == kOk};
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(body, ec);
  const boost::json::object* object = ec ? nullptr : value.if_object();
  if (object == nullptr) {
    return probed;
  }
  const boost::json::value* healthy = object->if_contains("healthy");
  if (healthy != nullptr && healthy->is_bool()) {
    probed.healthy = probed.healthy && healthy->get_bool();
  }
  const boost::json::value* load = object->if_contains("load_permille");
  if (load != nullptr && load->is_int64()) {
    probed.load_permille = static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(load->get_int64(), 0, kMaxLoad));
  }
  return probed;
}

Prober::Prober(boost::asio::io_context& io,
               ConnectionPool* pool,
               ProbeOptions options,
               EventSink* sink)
    : pool_(pool), options_(std::move(options)), sink_(sink), timer_(io) {}

Prober::~Prober() {
  if (exchange_ != nullptr) {
    exchange_->Cancel();
  }
}

void Prober::Start() {
  is_periodic_ = true;
  Probe(options_.path);
}

void Prober::ProbeOnce(const std::string& path) {
  if (exchange_ == nullptr) {
    Probe(path.empty() ? options_.path : path);
  }
}

void Prober::Probe(const std::string& path) {
  ++probe_count_;
  head_ = {};
  body_.clear();
  MessageHead head;
  head.method = "GET";
  head.target = path;
  head.Add("Host", options_.endpoint.address().to_string());
  exchange_ = new ClientExchange(pool_, options_.endpoint, this);
  exchange_->Start({.head = std::move(head),
                    .body_source = nullptr,
                    .head_timeout = options_.period,
                    .body_timeout = options_.period,
                    // A health answer names no request, so it must not be
                    // taken for that of a call, nor a call's for it.
                    .may_reuse = false,
                    .may_pool = false});
}

void Prober::ScheduleNext() {
  exchange_ = nullptr;
  if (!is_periodic_) {
    return;
  }
  const bool is_quick = probe_count_ < kQuickProbes;
  timer_.expires_after(is_quick ? options_.period / kQuickPeriodDivisor
                                : options_.period);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      Probe(options_.path);
    }
  });
}

void Prober::OnResponseHead(MessageHead& head) {
  head_ = head;
}

void Prober::OnResponseBody(std::string_view bytes) {
  const std::size_t room = kMaxHealthBytes - body_.size();
  body_.append(bytes.substr(0, room));
}

void Prober::OnResponseEnd() {
  sink_->Post(CallEvent(options_.call_protocol->ReadHealth(head_, body_)));
  pool_->Preconnect(options_.endpoint, options_.prepared_connections);
  ScheduleNext();
}

void Prober::OnExchangeFailed(ExchangeFailure /*failure*/) {
  sink_->Post(CallEvent(UpstreamProbed{}));
  ScheduleNext();
}

}  // namespace cassiabend
