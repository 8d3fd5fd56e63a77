#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "cassiabend/core/event_sink.h"

namespace cassiabend {

/// \brief Carries events and tasks from other threads to the thread of an Asio
/// context, until it is closed there.
class EventPoster : public std::enable_shared_from_this<EventPoster> {
 public:
  EventPoster(boost::asio::io_context& io, EventSink* sink)
      : io_(io), sink_(sink) {}

  /// \brief Hands `body` to the sink soon. Any thread may call.
  void Post(EventSink::Body body) {
    PostTask([this, body = std::move(body)]() mutable {
      sink_->Post(std::move(body));
    });
  }

  /// \brief Runs `task` soon on the context's thread, unless closed by then.
  void PostTask(std::function<void()> task) {
    boost::asio::post(io_, [self = shared_from_this(), task = std::move(task)] {
      if (self->sink_ != nullptr) {
        task();
      }
    });
  }

  /// \brief From now on nothing is handed over. Called on the context's thread.
  void Close() noexcept { sink_ = nullptr; }

 private:
  boost::asio::io_context& io_;
  EventSink* sink_;
};

}  // namespace cassiabend
