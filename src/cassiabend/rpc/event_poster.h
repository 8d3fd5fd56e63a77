#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "cassiabend/core/event_sink.h"

namespace cassiabend {

/// \brief Passes events and tasks from other threads to the thread of an Asio
/// context, until it is closed there.
class EventPoster : public std::enable_shared_from_this<EventPoster> {
 public:
  EventPoster(boost::asio::io_context& io, EventSink* sink)
      : io_(io), sink_(sink) {}

  /// \brief Posts `body` to the sink on the context's thread, unless closed by
  /// then. May be called on any thread.
  void Post(EventSink::Body body) {
    PostTask([this, body = std::move(body)]() mutable {
      sink_->Post(std::move(body));
    });
  }

  /// \brief Runs `task` on the context's thread, unless closed by then. May be
  /// called on any thread.
  void PostTask(std::function<void()> task) {
    boost::asio::post(io_, [self = shared_from_this(), task = std::move(task)] {
      if (self->sink_ != nullptr) {
        task();
      }
    });
  }

  /// \brief Drops all events and tasks that have not run yet. Called on the
  /// context's thread.
  void Close() noexcept { sink_ = nullptr; }

 private:
  boost::asio::io_context& io_;
  EventSink* sink_;
};

}  // namespace cassiabend
