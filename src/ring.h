#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <functional>
#include <utility>

#include "lentilcross/config.h"

namespace lentilcross {

/// Bounded single-producer, single-consumer ring buffer between two threads.
/// The consumer's `io_context` calls `consume` for each message.
template <typename Message>
class Ring {
 public:
  using Consume = std::function<void(Message&&)>;

  Ring(boost::asio::io_context& consumer, Consume consume)
      : consumer_(consumer),
        consume_(std::move(consume)),
        queue_(LENTILCROSS_CONFIG_RING_CAPACITY) {}

  /// Returns false and counts the message if the ring is full. Called on the
  /// producer thread only.
  bool Push(const Message& message) {
    if (!queue_.push(message)) {
      full_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (!scheduled_.exchange(true)) {
      boost::asio::post(consumer_, [this] { Drain(); });
    }
    return true;
  }

  /// Messages rejected because the ring was full.
  std::uint64_t full() const { return full_.load(std::memory_order_relaxed); }

 private:
  void Drain() {
    // Cleared before the queue is read, so that a message pushed meanwhile
    // schedules another drain.
    scheduled_.store(false);
    queue_.consume_all(
        [this](Message& message) { consume_(std::move(message)); });
  }

  boost::asio::io_context& consumer_;
  Consume consume_;
  boost::lockfree::spsc_queue<Message> queue_;
  std::atomic<bool> scheduled_{false};
  std::atomic<std::uint64_t> full_{0};
};

}  // namespace lentilcross
