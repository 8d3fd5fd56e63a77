#include "tools/soak_callers.h"

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include "cassiabend/base/random.h"
#include "tools/harness/http_client.h"
#include "tools/soak_checker.h"

namespace cassiabend::soak {
namespace {

using harness::HttpConnection;
using harness::Request;
using harness::Response;

constexpr std::uint64_t kMinThinkTimeMs = 20;
constexpr std::uint64_t kMaxThinkTimeMs = 200;
constexpr Milliseconds kRetryPause{50};
constexpr std::uint64_t kMinDownloadBytes = 100'000;
constexpr std::uint64_t kMaxDownloadBytes = 900'000;
/// Requests that a caller sends for one keyed order before it gives up.
constexpr int kOrderAttempts = 3;

/// Timeout of each step of a request. A connection serves every kind of call,
/// so it is the longest deadline plus the slack that is added to deadlines.
constexpr Milliseconds kStepTimeout = Milliseconds(10'000) + kDeadlineSlack;

/// \brief Parameters of one kind of call.
struct CallProfile {
  CallKind kind;
  /// Share of the calls other than downloads, out of `kTotalWeight`.
  std::uint64_t weight;
  const char* method;
  Milliseconds deadline;
};
constexpr CallProfile kDownloadProfile{CallKind::kDownload, 0, "GET",
                                       Milliseconds(10'000)};
constexpr auto kProfiles = std::to_array<CallProfile>({
    {CallKind::kShortRead, 3, "PUT", Milliseconds(2'000)},
    {CallKind::kSlowRead, 3, "GET", Milliseconds(10'000)},
    {CallKind::kOrder, 1, "POST", Milliseconds(5'000)},
    {CallKind::kKeyedOrder, 1, "POST", Milliseconds(5'000)},
});
constexpr std::uint64_t kTotalWeight = 8;
constexpr std::uint64_t kPercent = 100;

const CallProfile& DrawProfile(std::uint32_t download_percent, Random* random) {
  if (random->Below(kPercent) < download_percent) {
    return kDownloadProfile;
  }
  std::uint64_t n = random->Below(kTotalWeight);
  for (const CallProfile& it : kProfiles) {
    if (n < it.weight) {
      return it;
    }
    n -= it.weight;
  }
  return kProfiles.front();
}

CallOutcome OutcomeOf(const Response& response) {
  if (!response.complete) {
    return CallOutcome::kCut;
  }
  const std::string header = response.Header("x-cassiabend-outcome");
  if (header == "not-run") {
    return CallOutcome::kNotRun;
  }
  return header == "unknown" ? CallOutcome::kUnknown : CallOutcome::kAnswered;
}

}  // namespace

/// \brief One caller with the entry host that it calls and its connection.
class Callers::Caller {
 public:
  Caller(Callers* owner, std::size_t number)
      : owner_(owner),
        number_(number),
        entry_(number % owner->options_.entries.size()),
        random_(owner->options_.seed * 1'000'003 + number) {}

  void Run() {
    while (!owner_->is_stopping_) {
      Call();
      const auto think_time = Milliseconds(static_cast<std::int64_t>(
          kMinThinkTimeMs + random_.Below(kMaxThinkTimeMs - kMinThinkTimeMs)));
      std::this_thread::sleep_for(think_time);
    }
  }

 private:
  void Call() {
    const CallProfile& profile =
        DrawProfile(owner_->options_.download_percent, &random_);
    const std::string id =
        "c" + std::to_string(number_) + "-" + std::to_string(++calls_);
    const bool has_key = profile.kind == CallKind::kKeyedOrder;
    const std::string key = has_key ? "key-" + id : "";
    const std::uint64_t size =
        kMinDownloadBytes +
        random_.Below(kMaxDownloadBytes - kMinDownloadBytes);
    const int attempts = has_key ? kOrderAttempts : 1;
    for (int n = 0; n < attempts; ++n) {
      CallRecord record{.id = has_key ? id + "-" + std::to_string(n) : id,
                        .kind = profile.kind,
                        .order_key = key,
                        .deadline = profile.deadline};
      const std::optional<CallOutcome> outcome = Send(profile, size, &record);
      if (!outcome || *outcome == CallOutcome::kAnswered ||
          owner_->is_stopping_) {
        return;
      }
      std::this_thread::sleep_for(kRetryPause);
    }
  }

  /// \brief Sends one request and adds its record.
  /// \returns Its outcome; unset when no connection could be opened.
  std::optional<CallOutcome> Send(const CallProfile& profile,
                                  std::uint64_t size,
                                  CallRecord* record) {
    if (!Connect()) {
      return std::nullopt;
    }
    const bool is_download = profile.kind == CallKind::kDownload;
    const std::string body =
        record->order_key.empty() ? record->id : record->order_key;
    Request request{
        .method = profile.method,
        .target = is_download ? "/bytes/" + std::to_string(size) : "/echo",
        .headers = {{"X-Request-Tag", record->id},
                    {"X-Request-Id", record->id},
                    {"X-Cassiabend-Deadline-Ms",
                     std::to_string(profile.deadline.count())}},
        .body = is_download ? "" : body};
    if (!record->order_key.empty()) {
      request.headers.emplace_back("Idempotency-Key", record->order_key);
    }
    record->entry = entry_;
    record->opened = opened_;
    record->sent = owner_->clock_.Now();
    try {
      const Response response = connection_->Send(request);
      record->ended = owner_->clock_.Now();
      record->outcome = OutcomeOf(response);
      record->status = response.status;
      record->detail = response.Header("x-cassiabend-reason");
      record->has_expected_body =
          response.status == 200 &&
          (is_download ? response.body == std::string(size, 'x')
                       : response.body == body);
      if (!response.complete || response.Header("connection") == "close") {
        connection_.reset();
      }
    } catch (const std::runtime_error& error) {
      record->ended = owner_->clock_.Now();
      record->detail = error.what();
      const bool has_timed_out =
          record->ended - record->sent >= profile.deadline;
      record->outcome =
          has_timed_out ? CallOutcome::kSilent : CallOutcome::kClosed;
      connection_.reset();
    }
    const CallOutcome outcome = record->outcome;
    owner_->Add(std::move(*record));
    return outcome;
  }

  /// \brief Opens a connection if there is none: to the entry host, or to the
  /// next host that accepts, which becomes the entry host.
  /// \returns Whether there is a connection.
  bool Connect() {
    const std::vector<Address>& entries = owner_->options_.entries;
    for (std::size_t n = 0; !connection_ && n < entries.size(); ++n) {
      const Address& address = entries.at(entry_);
      try {
        connection_ = std::make_unique<HttpConnection>(address.ip, address.port,
                                                       kStepTimeout);
        opened_ = owner_->clock_.Now();
      } catch (const std::runtime_error&) {
        entry_ = (entry_ + 1) % entries.size();
      }
    }
    return connection_ != nullptr;
  }

  Callers* owner_;
  std::size_t number_;
  std::size_t entry_;
  Random random_;
  std::uint64_t calls_ = 0;
  std::unique_ptr<HttpConnection> connection_;
  RunTime opened_{0};
};

Callers::Callers(CallersOptions options, const RunClock& clock)
    : options_(std::move(options)), clock_(clock) {}

Callers::~Callers() {
  Stop();
}

void Callers::Start() {
  const std::size_t n = options_.entries.size() * options_.callers_per_host;
  for (std::size_t i = 0; i < n; ++i) {
    threads_.emplace_back([this, i] { Caller(this, i).Run(); });
  }
}

void Callers::Stop() {
  is_stopping_ = true;
  for (std::thread& it : threads_) {
    it.join();
  }
  threads_.clear();
}

std::vector<CallRecord> Callers::Records() const {
  const std::lock_guard lock(mutex_);
  return records_;
}

void Callers::Add(CallRecord record) {
  const std::lock_guard lock(mutex_);
  records_.push_back(std::move(record));
}

}  // namespace cassiabend::soak
