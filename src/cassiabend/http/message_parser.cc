#include "cassiabend/http/message_parser.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>
#include <utility>

#include "cassiabend/base/http_status.h"

namespace cassiabend {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

ParseError ParseErrorOf(const beast::error_code& ec) {
  if (!ec || ec == http::error::need_more) {
    return ParseError::kNone;
  }
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return ParseError::kHeaderTooLarge;
  }
  if (ec == http::error::body_limit) {
    return ParseError::kBodyTooLarge;
  }
  return ParseError::kMalformed;
}

}  // namespace

/// \brief Interface of the parsers of requests and of responses.
class MessageParser::Impl {
 public:
  Impl() = default;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  virtual ~Impl() = default;

  virtual void SetLimits(const ParseLimits& limits) = 0;
  virtual void Reset(bool skip_body) = 0;
  virtual std::size_t Put(std::string_view bytes, std::string* body) = 0;
  virtual bool PutEnd() = 0;

  MessageHead head;
  ParseError error = ParseError::kNone;
  bool started = false;
  bool head_done = false;
  bool done = false;
};

/// \brief Parser on top of Beast's.
template <bool kIsRequest>
class MessageParser::BeastParser final : public MessageParser::Impl {
 public:
  explicit BeastParser(const ParseLimits& limits) : limits_(limits) {
    Reset(false);
  }

  void SetLimits(const ParseLimits& limits) override {
    limits_ = limits;
    if (!started) {
      ApplyLimits();
    }
  }

  void Reset(bool skip_body) override {
    head = {};
    error = ParseError::kNone;
    started = false;
    head_done = false;
    done = false;
    parser_.emplace(&head);
    ApplyLimits();
    if (skip_body) {
      parser_->skip(true);
    }
  }

  std::size_t Put(std::string_view bytes, std::string* body) override {
    if (done || error != ParseError::kNone) {
      return 0;
    }
    started = started || !bytes.empty();
    parser_->set_body(body);
    beast::error_code ec;
    const std::size_t n =
        parser_->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    head.wire_bytes += head_done ? 0 : n;
    UpdateState(ec);
    return n;
  }

  bool PutEnd() override {
    if (!head_done || done || error != ParseError::kNone) {
      return done;
    }
    beast::error_code ec;
    parser_->put_eof(ec);
    UpdateState(ec);
    return done;
  }

 private:
  class Parser final : public http::basic_parser<kIsRequest> {
   public:
    explicit Parser(MessageHead* head) : head_(head) {}

    void set_body(std::string* body) noexcept { body_ = body; }

   private:
    using View = beast::string_view;

    void on_request_impl(http::verb /*verb*/,
                         View method,
                         View target,
                         int version,
                         beast::error_code& /*ec*/) override {
      head_->method.assign(method.data(), method.size());
      head_->target.assign(target.data(), target.size());
      head_->is_http_1_0 = version < 11;
    }

    void on_response_impl(int code,
                          View reason,
                          int version,
                          beast::error_code& ec) override {
      if (code < 0 || !IsHttpStatus(static_cast<unsigned>(code))) {
        ec = http::error::bad_status;
        return;
      }
      head_->status = static_cast<std::uint16_t>(code);
      head_->reason.assign(reason.data(), reason.size());
      head_->is_http_1_0 = version < 11;
    }

    void on_field_impl(http::field field,
                       View name,
                       View value,
                       beast::error_code& ec) override {
      if (field == http::field::transfer_encoding &&
          !EqualsIgnoreCase({value.data(), value.size()}, "chunked")) {
        ec = http::error::bad_transfer_encoding;
        return;
      }
      if (field == http::field::expect) {
        head_->expects_continue =
            EqualsIgnoreCase({value.data(), value.size()}, "100-continue");
      }
      head_->fields.push_back({std::string(name), std::string(value)});
    }

    void on_header_impl(beast::error_code& /*ec*/) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           beast::error_code& /*ec*/) override {}

    std::size_t on_body_impl(View bytes, beast::error_code& /*ec*/) override {
      body_->append(bytes.data(), bytes.size());
      return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/,
                              View /*extensions*/,
                              beast::error_code& /*ec*/) override {}

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                   View bytes,
                                   beast::error_code& /*ec*/) override {
      body_->append(bytes.data(), bytes.size());
      return bytes.size();
    }

    void on_finish_impl(beast::error_code& /*ec*/) override {}

    MessageHead* head_;
    std::string* body_ = nullptr;
  };

  void ApplyLimits() {
    parser_->header_limit(limits_.header_bytes);
    if (limits_.body_bytes.has_value()) {
      parser_->body_limit(*limits_.body_bytes);
    } else {
      parser_->body_limit(boost::none);
    }
  }

  void UpdateState(const beast::error_code& ec) {
    error = ParseErrorOf(ec);
    if (error != ParseError::kNone) {
      return;
    }
    if (parser_->is_header_done() && !head_done) {
      head_done = true;
      head.keep_alive = parser_->keep_alive();
      if (const auto length = parser_->content_length()) {
        head.content_length = *length;
      }
    }
    done = parser_->is_done();
  }

  ParseLimits limits_;
  std::optional<Parser> parser_;
};

MessageParser::MessageParser(MessageKind kind, const ParseLimits& limits) {
  if (kind == MessageKind::kRequest) {
    impl_ = std::make_unique<BeastParser<true>>(limits);
  } else {
    impl_ = std::make_unique<BeastParser<false>>(limits);
  }
}

MessageParser::~MessageParser() = default;

bool MessageParser::started() const noexcept {
  return impl_->started;
}
bool MessageParser::head_done() const noexcept {
  return impl_->head_done;
}
bool MessageParser::done() const noexcept {
  return impl_->done;
}
ParseError MessageParser::error() const noexcept {
  return impl_->error;
}
MessageHead& MessageParser::head() noexcept {
  return impl_->head;
}
void MessageParser::SetLimits(const ParseLimits& limits) {
  impl_->SetLimits(limits);
}
void MessageParser::Reset(bool skip_body) {
  impl_->Reset(skip_body);
}
std::size_t MessageParser::Put(std::string_view bytes, std::string* body) {
  return impl_->Put(bytes, body);
}
bool MessageParser::PutEnd() {
  return impl_->PutEnd();
}

}  // namespace cassiabend
